#pragma once

#include "config/schema.h"

#include <span>
#include <string>

namespace carawaypoint
{

/// Returns the sections of base.ini and of the site overlays.
std::span<const SectionSchema> configSchema();

/// Returns the text of docs/settings.md: every key of the configuration and of the INI files of daemons and gateways.
std::string settingsReference();

}
