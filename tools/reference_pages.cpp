#include "tools/reference_pages.h"

#include "settings/setting_spec.h"
#include "telemetry/event_catalog.h"

namespace celeryspread {

namespace {

std::string ValueText(const SettingSpec& aSpec, int64_t aValue)
{
  if (aSpec.m_type == SettingType::Boolean) {
    return aValue != 0 ? "true" : "false";
  }
  return std::to_string(aValue);
}

} // namespace

std::string EventsPage()
{
  std::string page = "# Events\n\n"
                     "Made by `scripts/generate` from the catalogue in "
                     "`telemetry/event_catalog.cpp`. Numbers are never "
                     "reused.\n\n"
                     "| number | name | level | meaning |\n"
                     "| --- | --- | --- | --- |\n";
  for (const EventSpec& spec : AllEventSpecs()) {
    page += "| E" + std::to_string(static_cast<unsigned>(spec.m_id)) + " | " +
            std::string(spec.m_name) + " | " + LevelName(spec.m_level) + " | " +
            std::string(spec.m_description) + " |\n";
  }
  return page;
}

std::string SettingsPage()
{
  std::string page =
    "# Settings\n\n"
    "Made by `scripts/generate` from the schema in "
    "`settings/setting_spec.cpp`. Each may stand in the `settings` object of "
    "any level (root, region, failure domain, model, plain service, adapter, "
    "version, calling service); a level inherits what it does not state.\n\n"
    "| name | type | least | most | default | meaning |\n"
    "| --- | --- | --- | --- | --- | --- |\n";
  for (const SettingSpec& spec : AllSettingSpecs()) {
    page += "| `" + std::string(spec.m_name) + "` | " +
            (spec.m_type == SettingType::Boolean ? "boolean" : "integer") +
            " | " + ValueText(spec, spec.m_minimum) + " | " +
            ValueText(spec, spec.m_maximum) + " | " +
            ValueText(spec, spec.m_default) + " | " +
            std::string(spec.m_description) + " |\n";
  }
  return page;
}

} // namespace celeryspread
