#include "serving/local_log.cpp" // NOLINT(bugprone-suspicious-include): until src/observe is merged
