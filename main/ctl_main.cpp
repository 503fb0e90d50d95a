#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <cxxopts.hpp>

#include "ctl/commands.h"
#include "main/exit_code.h"
#include "settings/instance_settings.h"
#include "settings/tree_parser.h"

namespace {

using namespace celeryspread;

int CheckSettingsTreeFile(const std::string& aPath)
{
  const auto text = ReadWholeFile(aPath);
  if (!text) {
    std::cerr << "celeryspreadctl: " << aPath << " is not readable\n";
    return ExitCode::BadUsage;
  }
  TreeParser parser;
  if (parser.Parse(*text)) {
    std::cout << "settings are valid\n";
    return ExitCode::Success;
  }
  for (const SettingsError& error : parser.Errors()) {
    std::cerr << "celeryspreadctl: " << error.Text() << "\n";
  }
  return ExitCode::BadSettings;
}

/// Returns the operator's key from a file or, if aFile is empty, from the
/// environment. It is never passed on the command line, which other users of
/// the machine can read. @return empty when there is no key or no such file.
std::string ReadKeyFromFileOrEnvironment(const std::string& aFile)
{
  if (aFile.empty()) {
    const char* key = std::getenv("CELERYSPREAD_KEY");
    return key == nullptr ? "" : key;
  }
  std::string key = ReadWholeFile(aFile).value_or("");
  while (!key.empty() && (key.back() == '\n' || key.back() == '\r')) {
    key.pop_back();
  }
  return key;
}

void AddOptions(cxxopts::Options& aOptions)
{
  auto textOption = [] {
    return cxxopts::value<std::string>()->default_value("");
  };
  aOptions.add_options()(
    "words", "Command", cxxopts::value<std::vector<std::string>>())(
    "address",
    "IP address of an instance",
    cxxopts::value<std::string>()->default_value("127.0.0.1"))(
    "port",
    "HTTP port of an entry instance",
    cxxopts::value<uint16_t>()->default_value("8080"))(
    "key-file",
    "File with the operator's key; if absent, CELERYSPREAD_KEY is used",
    textOption())("file", "JSON merge patch", textOption())(
    "change-id", "Id of the change; if absent, a random one", textOption())(
    "expect",
    "Revision that the change is based on; if negative, the current one",
    cxxopts::value<int64_t>()->default_value("-1"))(
    "output",
    "Output format: text or json",
    cxxopts::value<std::string>()->default_value("text"))(
    "check-settings",
    "Check a file that holds a whole settings tree and exit",
    textOption())("model", "Model name", textOption())(
    "naming-scheme", "Naming scheme", textOption())(
    "service", "Calling service", textOption())(
    "plain-service", "Plain service", textOption())(
    "failure-domain", "Failure domain", textOption())(
    "key", "Claim key", textOption())(
    "reason", "Reason for settling a claim", textOption())(
    "has-run",
    "Whether the work of a claim has run: true or false",
    textOption())("version", "Show the version")("help", "Show this help");
  aOptions.parse_positional({ "words" });
}

CtlArguments ToCtlArguments(const cxxopts::ParseResult& aParsed)
{
  CtlArguments arguments;
  arguments.m_positionals = aParsed["words"].as<std::vector<std::string>>();
  arguments.m_patchFile = aParsed["file"].as<std::string>();
  arguments.m_changeId = aParsed["change-id"].as<std::string>();
  arguments.m_expectedRevision = aParsed["expect"].as<int64_t>();
  arguments.m_isJson = aParsed["output"].as<std::string>() == "json";
  for (const char* option : { "model",
                              "naming-scheme",
                              "service",
                              "plain-service",
                              "key",
                              "reason",
                              "failure-domain",
                              "has-run" }) {
    std::string name(option);
    std::replace(name.begin(), name.end(), '-', '_');
    const auto value = aParsed[option].as<std::string>();
    if (!value.empty()) {
      arguments.m_parameters[name] = value;
    }
  }
  return arguments;
}

} // namespace

int main(int argc, char** argv) // NOLINT(readability-identifier-naming)
{
  cxxopts::Options options("celeryspreadctl",
                           "Command-line client for operators of celeryspread");
  AddOptions(options);
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help() << "\n" << CtlCommands::Help();
      return ExitCode::Success;
    }
    if (parsed.count("version") != 0) {
      std::cout << "celeryspreadctl " << CELERYSPREAD_VERSION << "\n";
      return ExitCode::Success;
    }
    if (parsed.count("check-settings") != 0) {
      return CheckSettingsTreeFile(parsed["check-settings"].as<std::string>());
    }
    const auto output = parsed["output"].as<std::string>();
    if (parsed.count("words") == 0 || (output != "text" && output != "json")) {
      std::cerr
        << "celeryspreadctl: expected a command, and --output text or json\n"
        << CtlCommands::Help();
      return ExitCode::BadUsage;
    }
    signal(SIGPIPE, SIG_IGN);
    const CtlArguments arguments = ToCtlArguments(parsed);
    AdminClient client(
      { parsed["address"].as<std::string>(), parsed["port"].as<uint16_t>() },
      ReadKeyFromFileOrEnvironment(parsed["key-file"].as<std::string>()));
    return CtlCommands(client, arguments, std::cout, std::cerr).Run();
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "celeryspreadctl: " << error.what() << "\n";
    return ExitCode::BadUsage;
  }
}
