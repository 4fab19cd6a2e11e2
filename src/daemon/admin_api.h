#pragma once

#include "daemon/admin_server.h"
#include "daemon/control_plane.h"

#include <functional>

namespace carawaypoint
{

/// Registers the handlers of docs/interfaces.md, section "Operators". @p controlPlane must outlive the server.
/// @param startDrain starts the graceful shutdown of this daemon.
void addAdminHandlers(AdminServer &server, ControlPlane &controlPlane, const Clock &clock, std::function<void()> startDrain);

}
