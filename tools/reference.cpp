#include <iostream>
#include <string_view>

#include "tools/reference_pages.h"

/// Prints one reference page: "events" or "settings".
int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  const std::string_view page = argc == 2 ? argv[1] : "";
  if (page == "events") {
    std::cout << celeryspread::EventsPage();
    return 0;
  }
  if (page == "settings") {
    std::cout << celeryspread::SettingsPage();
    return 0;
  }
  std::cerr << "reference: expected events or settings\n";
  return 2;
}
