#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "ctl/admin_client.h"

namespace celeryspread {

/// Parsed command line of celeryspreadctl.
struct CtlArguments
{
  /// Command and its own words, such as "list" "models".
  std::vector<std::string> m_words;
  std::string m_file;
  std::string m_changeId;
  /// Expected revision; negative takes the current one.
  int64_t m_expect = -1;
  /// Parameters of explain and settle, by name.
  std::map<std::string, std::string> m_fields;
  bool m_isJson = false;
};

/// Runs the commands of celeryspreadctl.
/// @thread one thread.
class CtlCommands
{
public:
  /// Writes to the given streams. @pre all arguments outlive it.
  CtlCommands(AdminClient& aClient,
              const CtlArguments& aArguments,
              std::ostream& aOut,
              std::ostream& aErrors);

  /// Runs the command. @pre none. @return exit code, see docs/OPERATING.md.
  int Run();

  /// Returns one line of help for each command. @pre none.
  static std::string Help();

private:
  using Handler = int (CtlCommands::*)();
  struct Row
  {
    const char* m_name;
    const char* m_help;
    Handler m_handler;
  };

  static const std::vector<Row>& Rows();
  int Apply();
  int Get();
  int Diff();
  int History();
  int List();
  int Drain();
  int Explain();
  int Status();
  int Claims();
  int Settle();
  int HashKeyCommand();
  int TraceRequest();
  std::optional<nlohmann::json> Fetch(const std::string& aPath);
  std::optional<nlohmann::json> ReadPatch();
  int SendChange(const nlohmann::json& aPatch);
  int Fail(int aCode, const std::string& aText);
  int Report(const AdminAnswer& aAnswer);
  void Print(const nlohmann::json& aValue);
  void PrintTable(const nlohmann::json& aRows,
                  const std::vector<std::string>& aColumns);
  [[nodiscard]] std::string Word(size_t aIndex) const;
  [[nodiscard]] std::string Field(const std::string& aName) const;

  AdminClient& m_client;
  const CtlArguments& m_arguments;
  std::ostream& m_out;
  std::ostream& m_errors;
  int m_code = 0;
};

} // namespace celeryspread
