#include "fleet.h"
namespace review {
}
