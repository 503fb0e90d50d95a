#pragma once

#include <string>

namespace celeryspread {

/// Returns docs/EVENTS.md, made from the event catalogue.
/// @pre none. @thread any.
std::string EventsPage();

/// Returns docs/SETTINGS.md, made from the settings schema.
/// @pre none. @thread any.
std::string SettingsPage();

} // namespace celeryspread
