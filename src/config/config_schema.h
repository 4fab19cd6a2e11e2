#pragma once

#include "config/schema.h"

#include <span>
#include <string>

namespace carawaypoint
{

/// The sections of base.ini and of the site overlays.
std::span<const SectionSchema> configSchema();

/// The page docs/settings.md: every key of the configuration and of a process's INI file.
std::string settingsReference();

}
