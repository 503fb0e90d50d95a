#include "ctl/commands.h"

#include <fstream>
#include <iostream>
#include <random>

#include "core/json_text.h"
#include "core/key_hash.h"
#include "ctl/request_trace.h"
#include "http/http_status.h"
#include "main/exit_code.h"
#include "settings/instance_settings.h"

namespace celeryspread {

namespace {

using nlohmann::json;

std::string RandomChangeId()
{
  std::random_device device;
  return "ctl-" + std::to_string(device()) + "-" + std::to_string(device());
}

std::string DisplayText(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : FormatJson(aValue);
}

} // namespace

CtlCommands::CtlCommands(AdminClient& aClient,
                         const CtlArguments& aArguments,
                         std::ostream& aOut,
                         std::ostream& aErrors)
  : m_client(aClient)
  , m_arguments(aArguments)
  , m_out(aOut)
  , m_errors(aErrors)
{
}

const std::vector<CtlCommands::Command>& CtlCommands::Commands()
{
  static const std::vector<Command> kCommands = {
    { "apply",
      "apply --file PATCH: apply a JSON merge patch to the settings tree",
      &CtlCommands::Apply },
    { "get",
      "get: show the settings tree and its revision",
      &CtlCommands::Get },
    { "diff",
      "diff --file PATCH: show what apply would change",
      &CtlCommands::Diff },
    { "history", "history: show the accepted changes", &CtlCommands::History },
    { "list",
      "list models|names|upstreams|instances: list objects of one kind",
      &CtlCommands::List },
    { "drain",
      "drain UPSTREAM: mark an upstream as leaving",
      &CtlCommands::Drain },
    { "explain",
      "explain [--model N] [--naming-scheme N] [--plain-service N] "
      "[--service N] [--failure-domain N]: show each effective setting and the "
      "level that sets it",
      &CtlCommands::Explain },
    { "status",
      "status: show the leader, the replicas and the revision of each instance",
      &CtlCommands::Status },
    { "claims",
      "claims [STATE]: list the claims on work that must run at most once",
      &CtlCommands::Claims },
    { "settle",
      "settle --service N --key K --reason R --has-run true|false: state "
      "whether the work of a claim with unknown outcome has run",
      &CtlCommands::Settle },
    { "hash-key",
      "hash-key: read a key from standard input and print its hash",
      &CtlCommands::HashKeyFromInput },
    { "trace-request",
      "trace-request ID LOG...: print the lines about one request from the "
      "logs of several instances",
      &CtlCommands::TraceRequest },
  };
  return kCommands;
}

std::string CtlCommands::Help()
{
  std::string help = "Commands:\n";
  for (const Command& command : Commands()) {
    help += std::string("  ") + command.m_help + "\n";
  }
  return help;
}

std::string CtlCommands::Positional(size_t aIndex) const
{
  return aIndex < m_arguments.m_positionals.size()
           ? m_arguments.m_positionals[aIndex]
           : std::string();
}

std::string CtlCommands::Parameter(const std::string& aName) const
{
  const auto found = m_arguments.m_parameters.find(aName);
  return found == m_arguments.m_parameters.end() ? std::string()
                                                 : found->second;
}

int CtlCommands::Run()
{
  for (const Command& command : Commands()) {
    if (Positional(0) == command.m_name) {
      return (this->*command.m_handler)();
    }
  }
  return Fail(ExitCode::BadUsage,
              "unknown command \"" + Positional(0) + "\"\n" + Help());
}

int CtlCommands::Fail(int aExitCode, const std::string& aText)
{
  m_errors << "celeryspreadctl: " << aText << "\n";
  m_exitCode = aExitCode;
  return aExitCode;
}

void CtlCommands::Print(const json& aValue)
{
  constexpr int kIndent = 2;
  m_out << aValue.dump(m_arguments.m_isJson ? -1 : kIndent,
                       ' ',
                       false,
                       nlohmann::json::error_handler_t::replace)
        << "\n";
}

void CtlCommands::PrintTable(const json& aRows,
                             const std::vector<std::string>& aColumns)
{
  if (m_arguments.m_isJson) {
    Print(aRows);
    return;
  }
  for (const json& row : aRows) {
    std::string line;
    for (const std::string& column : aColumns) {
      line +=
        (line.empty() ? "" : "  ") + DisplayText(row.value(column, json("")));
    }
    m_out << line << "\n";
  }
}

int CtlCommands::ReportResponse(const AdminResponse& aResponse)
{
  if (aResponse.m_status == HttpStatus::kOk) {
    Print(aResponse.m_body);
    return ExitCode::Success;
  }
  if (m_arguments.m_isJson) {
    Print(aResponse.m_body);
  }
  std::string text = "answer " + std::to_string(aResponse.m_status);
  if (aResponse.m_body.contains("error")) {
    text +=
      ": " + DisplayText(aResponse.m_body["error"].value("code", json(""))) +
      ": " + DisplayText(aResponse.m_body["error"].value("message", json("")));
  }
  for (const json& error : aResponse.m_body.value("errors", json::array())) {
    text += "\n  " + DisplayText(error["path"]) + ": got " +
            DisplayText(error["value"]) + ", expected " +
            DisplayText(error["expected"]);
  }
  if (aResponse.m_body.contains("winner")) {
    text +=
      "\n  revision " + FormatJson(aResponse.m_body["winner"]["revision"]) +
      " was created by change " +
      DisplayText(aResponse.m_body["winner"]["change_id"]) + " of operator " +
      DisplayText(aResponse.m_body["winner"]["operator"]);
  }
  return Fail(aResponse.m_status == HttpStatus::kUnavailable
                ? ExitCode::Failure
                : ExitCode::Refused,
              text);
}

std::optional<json> CtlCommands::Fetch(const std::string& aPath)
{
  const auto response = m_client.Send("GET", aPath, "");
  if (!response) {
    Fail(ExitCode::Failure, m_client.LastReason());
    return std::nullopt;
  }
  if (response->m_status != HttpStatus::kOk) {
    ReportResponse(*response);
    return std::nullopt;
  }
  return response->m_body;
}

std::optional<json> CtlCommands::ReadPatch()
{
  const auto text = ReadWholeFile(m_arguments.m_patchFile);
  if (!text) {
    Fail(ExitCode::BadUsage,
         "--file \"" + m_arguments.m_patchFile + "\" is not readable");
    return std::nullopt;
  }
  JsonReader reader(JsonLimits{});
  auto patch = reader.Parse(*text);
  if (!patch) {
    Fail(ExitCode::BadSettings,
         m_arguments.m_patchFile + ": " + reader.LastReason());
  }
  return patch;
}

int CtlCommands::SendChange(const json& aPatch)
{
  int64_t expected = m_arguments.m_expectedRevision;
  if (expected < 0) {
    const auto current = Fetch("/admin/tree");
    if (!current) {
      return m_exitCode;
    }
    expected = (*current)["revision"].get<int64_t>();
  }
  const json body = { { "change_id",
                        m_arguments.m_changeId.empty()
                          ? RandomChangeId()
                          : m_arguments.m_changeId },
                      { "expected_revision", expected },
                      { "patch", aPatch } };
  // A retry with the same change id is safe, since a change is accepted at most
  // once.
  constexpr int kMaxAttempts = 2;
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto response =
      m_client.Send("POST", "/admin/changes", FormatJson(body));
    if (response && (response->m_status != HttpStatus::kUnavailable ||
                     i + 1 == kMaxAttempts)) {
      return ReportResponse(*response);
    }
  }
  return Fail(ExitCode::Failure, m_client.LastReason());
}

int CtlCommands::Apply()
{
  const auto patch = ReadPatch();
  return patch ? SendChange(*patch) : m_exitCode;
}

int CtlCommands::Get()
{
  const auto body = Fetch("/admin/tree");
  if (!body) {
    return m_exitCode;
  }
  Print(*body);
  return ExitCode::Success;
}

int CtlCommands::Diff()
{
  const auto patch = ReadPatch();
  if (!patch) {
    return m_exitCode;
  }
  const auto body = Fetch("/admin/tree");
  if (!body) {
    return m_exitCode;
  }
  json next = (*body)["tree"];
  next.merge_patch(*patch);
  PrintTable(json::diff((*body)["tree"], next), { "op", "path", "value" });
  return ExitCode::Success;
}

int CtlCommands::History()
{
  const auto body = Fetch("/admin/changes");
  if (!body) {
    return m_exitCode;
  }
  PrintTable((*body)["changes"],
             { "revision", "operator", "change_id", "patch" });
  return ExitCode::Success;
}

int CtlCommands::List()
{
  struct Listing
  {
    const char* m_kind;
    const char* m_path;
    const char* m_member;
  };
  static constexpr Listing kListings[] = {
    { "models", "/admin/tree", "tree" },
    { "names", "/admin/names", "names" },
    { "upstreams", "/admin/upstreams", "upstreams" },
    { "instances", "/admin/status", "instances" },
  };
  for (const Listing& listing : kListings) {
    if (Positional(1) != listing.m_kind) {
      continue;
    }
    const auto body = Fetch(listing.m_path);
    if (!body) {
      return m_exitCode;
    }
    json rows = (*body)[listing.m_member];
    if (Positional(1) == "models") {
      rows = rows.value("models", json::object());
    }
    if (rows.is_array()) {
      PrintTable(rows, { "naming_scheme", "name", "reaches" });
    } else {
      Print(rows);
    }
    return ExitCode::Success;
  }
  return Fail(ExitCode::BadUsage,
              "list expects one of models, names, upstreams or instances");
}

int CtlCommands::Drain()
{
  if (Positional(1).empty()) {
    return Fail(ExitCode::BadUsage, "drain expects the name of an upstream");
  }
  const auto body = Fetch("/admin/upstreams");
  if (!body) {
    return m_exitCode;
  }
  if (!(*body)["upstreams"].contains(Positional(1))) {
    return Fail(ExitCode::Refused,
                "upstream \"" + Positional(1) + "\" is not declared");
  }
  return SendChange(
    { { "upstreams", { { Positional(1), { { "leaving", true } } } } } });
}

int CtlCommands::Explain()
{
  std::string path = "/admin/explain?x=";
  for (const auto& [name, value] : m_arguments.m_parameters) {
    path.append("&").append(name).append("=").append(value);
  }
  const auto body = Fetch(path);
  if (!body) {
    return m_exitCode;
  }
  PrintTable((*body)["settings"], { "setting", "value", "level" });
  return ExitCode::Success;
}

int CtlCommands::Status()
{
  const auto body = Fetch("/admin/status");
  if (!body) {
    return m_exitCode;
  }
  Print(*body);
  return ExitCode::Success;
}

int CtlCommands::Claims()
{
  const auto body = Fetch("/admin/claims?state=" + Positional(1));
  if (!body) {
    return m_exitCode;
  }
  PrintTable((*body)["claims"], { "service", "key", "state", "reason" });
  return ExitCode::Success;
}

int CtlCommands::Settle()
{
  const std::string hasRun = Parameter("has_run");
  if (hasRun != "true" && hasRun != "false") {
    return Fail(ExitCode::BadUsage, "--has-run expects true or false");
  }
  const json body = { { "service", Parameter("service") },
                      { "key", Parameter("key") },
                      { "reason", Parameter("reason") },
                      { "has_run", hasRun == "true" } };
  const auto response =
    m_client.Send("POST", "/admin/claims/settle", FormatJson(body));
  return response ? ReportResponse(*response)
                  : Fail(ExitCode::Failure, m_client.LastReason());
}

int CtlCommands::HashKeyFromInput()
{
  std::string key;
  if (!std::getline(std::cin, key) || key.find('.') == std::string::npos) {
    return Fail(ExitCode::BadUsage,
                "expected a key \"<id>.<secret>\" on standard input");
  }
  m_out << HashKey(key) << "\n";
  return ExitCode::Success;
}

int CtlCommands::TraceRequest()
{
  constexpr size_t kFirstLogIndex = 2;
  if (Positional(1).empty() || Positional(kFirstLogIndex).empty()) {
    return Fail(ExitCode::BadUsage,
                "trace-request expects a request id and one or more log files");
  }
  RequestTrace trace(Positional(1));
  for (size_t i = kFirstLogIndex; i < m_arguments.m_positionals.size(); ++i) {
    std::ifstream log(Positional(i));
    if (!log) {
      return Fail(ExitCode::BadUsage, Positional(i) + " is not readable");
    }
    trace.AddLog(log);
  }
  if (trace.SkippedLines() > 0) {
    m_errors << "celeryspreadctl: " << trace.SkippedLines()
             << " lines are not log lines and were skipped\n";
  }
  const auto lines = trace.SelectedLines();
  if (lines.empty()) {
    return Fail(ExitCode::Failure,
                "no log line belongs to request " + Positional(1));
  }
  for (const auto& line : lines) {
    m_out << FormatJson(line) << "\n";
  }
  return ExitCode::Success;
}

} // namespace celeryspread
