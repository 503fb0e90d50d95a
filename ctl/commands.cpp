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

std::string Plain(const json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
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

const std::vector<CtlCommands::Row>& CtlCommands::Rows()
{
  static const std::vector<Row> kRows = {
    { "apply",
      "apply --file PATCH: change the tree by a JSON merge patch",
      &CtlCommands::Apply },
    { "get", "get: show the tree and its revision", &CtlCommands::Get },
    { "diff",
      "diff --file PATCH: show what apply would change",
      &CtlCommands::Diff },
    { "history", "history: show accepted changes", &CtlCommands::History },
    { "list", "list models|names|upstreams|instances", &CtlCommands::List },
    { "drain",
      "drain UPSTREAM: declare an upstream as leaving",
      &CtlCommands::Drain },
    { "explain",
      "explain [--model N] [--service N] [--failure-domain N]: show the level "
      "that each effective value came from",
      &CtlCommands::Explain },
    { "status",
      "status: show leader, replicas, and revision per instance",
      &CtlCommands::Status },
    { "claims",
      "claims [STATE]: list claims of work that must not repeat",
      &CtlCommands::Claims },
    { "settle",
      "settle --service N --key K --reason R --has-run true|false: settle a "
      "claim of unknown outcome",
      &CtlCommands::Settle },
    { "hash-key",
      "hash-key: read a key from standard input, print its hash",
      &CtlCommands::HashKeyCommand },
    { "trace-request",
      "trace-request ID LOG...: show what the logs of several instances say "
      "of one request",
      &CtlCommands::TraceRequest },
  };
  return kRows;
}

std::string CtlCommands::Help()
{
  std::string help = "Commands:\n";
  for (const Row& row : Rows()) {
    help += std::string("  ") + row.m_help + "\n";
  }
  return help;
}

std::string CtlCommands::Word(size_t aIndex) const
{
  return aIndex < m_arguments.m_words.size() ? m_arguments.m_words[aIndex]
                                             : std::string();
}

std::string CtlCommands::Field(const std::string& aName) const
{
  const auto found = m_arguments.m_fields.find(aName);
  return found == m_arguments.m_fields.end() ? std::string() : found->second;
}

int CtlCommands::Run()
{
  for (const Row& row : Rows()) {
    if (Word(0) == row.m_name) {
      return (this->*row.m_handler)();
    }
  }
  return Fail(ExitCode::BadUsage,
              "unknown command \"" + Word(0) + "\"\n" + Help());
}

int CtlCommands::Fail(int aCode, const std::string& aText)
{
  m_errors << "celeryspreadctl: " << aText << "\n";
  m_code = aCode;
  return aCode;
}

void CtlCommands::Print(const json& aValue)
{
  constexpr int kIndent = 2;
  m_out << aValue.dump(m_arguments.m_isJson ? -1 : kIndent) << "\n";
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
      line += (line.empty() ? "" : "  ") + Plain(row.value(column, json("")));
    }
    m_out << line << "\n";
  }
}

int CtlCommands::Report(const AdminAnswer& aAnswer)
{
  if (aAnswer.m_status == HttpStatus::kOk) {
    Print(aAnswer.m_body);
    return ExitCode::Success;
  }
  if (m_arguments.m_isJson) {
    Print(aAnswer.m_body);
  }
  std::string text = "answer " + std::to_string(aAnswer.m_status);
  if (aAnswer.m_body.contains("error")) {
    text += ": " + Plain(aAnswer.m_body["error"].value("code", json(""))) +
            ": " + Plain(aAnswer.m_body["error"].value("message", json("")));
  }
  for (const json& error : aAnswer.m_body.value("errors", json::array())) {
    text += "\n  " + Plain(error["path"]) + ": got " + Plain(error["value"]) +
            ", expected " + Plain(error["expected"]);
  }
  if (aAnswer.m_body.contains("winner")) {
    text += "\n  revision " + aAnswer.m_body["winner"]["revision"].dump() +
            " was taken by change " +
            Plain(aAnswer.m_body["winner"]["change_id"]) + " of " +
            Plain(aAnswer.m_body["winner"]["operator"]);
  }
  return Fail(aAnswer.m_status == HttpStatus::kUnavailable ? ExitCode::Failure
                                                           : ExitCode::Refused,
              text);
}

std::optional<json> CtlCommands::Fetch(const std::string& aPath)
{
  const auto answer = m_client.Ask("GET", aPath, "");
  if (!answer) {
    Fail(ExitCode::Failure, m_client.LastReason());
    return std::nullopt;
  }
  if (answer->m_status != HttpStatus::kOk) {
    Report(*answer);
    return std::nullopt;
  }
  return answer->m_body;
}

std::optional<json> CtlCommands::ReadPatch()
{
  const auto text = ReadWholeFile(m_arguments.m_file);
  if (!text) {
    Fail(ExitCode::BadUsage,
         "--file \"" + m_arguments.m_file + "\" is not readable");
    return std::nullopt;
  }
  JsonReader reader(JsonLimits{});
  auto patch = reader.Parse(*text);
  if (!patch) {
    Fail(ExitCode::BadSettings,
         m_arguments.m_file + ": " + reader.LastReason());
  }
  return patch;
}

int CtlCommands::SendChange(const json& aPatch)
{
  int64_t expected = m_arguments.m_expect;
  if (expected < 0) {
    const auto current = Fetch("/admin/tree");
    if (!current) {
      return m_code;
    }
    expected = (*current)["revision"].get<int64_t>();
  }
  const json body = { { "change_id",
                        m_arguments.m_changeId.empty()
                          ? RandomChangeId()
                          : m_arguments.m_changeId },
                      { "expected_revision", expected },
                      { "patch", aPatch } };
  // One resend under the same id is safe: a change is accepted once.
  constexpr int kTries = 2;
  for (int i = 0; i < kTries; ++i) {
    const auto answer = m_client.Ask("POST", "/admin/changes", body.dump());
    if (answer &&
        (answer->m_status != HttpStatus::kUnavailable || i + 1 == kTries)) {
      return Report(*answer);
    }
  }
  return Fail(ExitCode::Failure, m_client.LastReason());
}

int CtlCommands::Apply()
{
  const auto patch = ReadPatch();
  return patch ? SendChange(*patch) : m_code;
}

int CtlCommands::Get()
{
  const auto body = Fetch("/admin/tree");
  if (!body) {
    return m_code;
  }
  Print(*body);
  return ExitCode::Success;
}

int CtlCommands::Diff()
{
  const auto patch = ReadPatch();
  if (!patch) {
    return m_code;
  }
  const auto body = Fetch("/admin/tree");
  if (!body) {
    return m_code;
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
    return m_code;
  }
  PrintTable((*body)["changes"],
             { "revision", "operator", "change_id", "patch" });
  return ExitCode::Success;
}

int CtlCommands::List()
{
  struct Listing
  {
    const char* m_word;
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
    if (Word(1) != listing.m_word) {
      continue;
    }
    const auto body = Fetch(listing.m_path);
    if (!body) {
      return m_code;
    }
    json rows = (*body)[listing.m_member];
    if (Word(1) == "models") {
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
              "list needs models, names, upstreams or instances");
}

int CtlCommands::Drain()
{
  if (Word(1).empty()) {
    return Fail(ExitCode::BadUsage, "drain needs an upstream");
  }
  const auto body = Fetch("/admin/upstreams");
  if (!body) {
    return m_code;
  }
  if (!(*body)["upstreams"].contains(Word(1))) {
    return Fail(ExitCode::Refused,
                "upstream \"" + Word(1) + "\" is not declared");
  }
  return SendChange(
    { { "upstreams", { { Word(1), { { "leaving", true } } } } } });
}

int CtlCommands::Explain()
{
  std::string path = "/admin/explain?x=";
  for (const auto& [name, value] : m_arguments.m_fields) {
    path.append("&").append(name).append("=").append(value);
  }
  const auto body = Fetch(path);
  if (!body) {
    return m_code;
  }
  PrintTable((*body)["settings"], { "setting", "value", "level" });
  return ExitCode::Success;
}

int CtlCommands::Status()
{
  const auto body = Fetch("/admin/status");
  if (!body) {
    return m_code;
  }
  Print(*body);
  return ExitCode::Success;
}

int CtlCommands::Claims()
{
  const auto body = Fetch("/admin/claims?state=" + Word(1));
  if (!body) {
    return m_code;
  }
  PrintTable((*body)["claims"], { "service", "key", "state", "reason" });
  return ExitCode::Success;
}

int CtlCommands::Settle()
{
  const std::string hasRun = Field("has_run");
  if (hasRun != "true" && hasRun != "false") {
    return Fail(ExitCode::BadUsage, "--has-run needs true or false");
  }
  const json body = { { "service", Field("service") },
                      { "key", Field("key") },
                      { "reason", Field("reason") },
                      { "has_run", hasRun == "true" } };
  const auto answer = m_client.Ask("POST", "/admin/claims/settle", body.dump());
  return answer ? Report(*answer)
                : Fail(ExitCode::Failure, m_client.LastReason());
}

int CtlCommands::HashKeyCommand()
{
  std::string key;
  if (!std::getline(std::cin, key) || key.find('.') == std::string::npos) {
    return Fail(ExitCode::BadUsage,
                "standard input holds no key \"<id>.<secret>\"");
  }
  m_out << HashKey(key) << "\n";
  return ExitCode::Success;
}

int CtlCommands::TraceRequest()
{
  constexpr size_t kFirstLog = 2;
  if (Word(1).empty() || Word(kFirstLog).empty()) {
    return Fail(ExitCode::BadUsage, "trace-request needs an id and log files");
  }
  RequestTrace trace(Word(1));
  for (size_t i = kFirstLog; i < m_arguments.m_words.size(); ++i) {
    std::ifstream log(Word(i));
    if (!log) {
      return Fail(ExitCode::BadUsage, Word(i) + " is not readable");
    }
    trace.Read(log);
  }
  if (trace.Skipped() > 0) {
    m_errors << "celeryspreadctl: " << trace.Skipped()
             << " lines are no log lines and were skipped\n";
  }
  const auto lines = trace.Lines();
  if (lines.empty()) {
    return Fail(ExitCode::Failure, "no line names request " + Word(1));
  }
  for (const auto& line : lines) {
    m_out << line.dump() << "\n";
  }
  return ExitCode::Success;
}

} // namespace celeryspread
