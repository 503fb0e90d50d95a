#pragma once

#include <string>

namespace celeryspread {

/// Returns the text of docs/EVENTS.md, generated from the event catalogue.
/// @pre none. @thread any.
std::string EventsPage();

/// Returns the text of docs/SETTINGS.md, generated from the settings schema.
/// @pre none. @thread any.
std::string SettingsPage();

} // namespace celeryspread
