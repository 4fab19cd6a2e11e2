#pragma once

#include <unistd.h>

namespace carawaypoint::standins
{

/// Closes all descriptors but the three standard ones. Called in a child process before it executes another program: a listening socket that the
/// child inherits accepts connections that nobody serves, also after its owner has closed it.
inline void closeInheritedDescriptors()
{
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
}

}
