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
  /// Command and its positional arguments, such as "list" "models".
  std::vector<std::string> m_positionals;
  std::string m_patchFile;
  std::string m_changeId;
  /// Revision that a change has to be based on; if negative, the current one.
  int64_t m_expectedRevision = -1;
  /// Parameters of explain and settle, by the name that the admin API uses.
  std::map<std::string, std::string> m_parameters;
  bool m_isJson = false;
};

/// Implements the commands of celeryspreadctl on top of the admin API.
/// @thread one thread.
class CtlCommands
{
public:
  /// Prints results to aOut and errors to aErrors. @pre all arguments outlive
  /// it.
  CtlCommands(AdminClient& aClient,
              const CtlArguments& aArguments,
              std::ostream& aOut,
              std::ostream& aErrors);

  /// Runs the command that the arguments name. @pre none.
  /// @return exit code, see docs/OPERATING.md.
  int Run();

  /// Returns the help text: one line for each command. @pre none.
  static std::string Help();

private:
  using Handler = int (CtlCommands::*)();
  struct Command
  {
    const char* m_name;
    const char* m_help;
    Handler m_handler;
  };

  static const std::vector<Command>& Commands();
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
  int HashKeyFromInput();
  int TraceRequest();
  std::optional<nlohmann::json> Fetch(const std::string& aPath);
  std::optional<nlohmann::json> ReadPatch();
  int SendChange(const nlohmann::json& aPatch);
  int Fail(int aExitCode, const std::string& aText);
  int ReportResponse(const AdminResponse& aResponse);
  void Print(const nlohmann::json& aValue);
  void PrintTable(const nlohmann::json& aRows,
                  const std::vector<std::string>& aColumns);
  [[nodiscard]] std::string Positional(size_t aIndex) const;
  [[nodiscard]] std::string Parameter(const std::string& aName) const;

  AdminClient& m_client;
  const CtlArguments& m_arguments;
  std::ostream& m_out;
  std::ostream& m_errors;
  int m_exitCode = 0;
};

} // namespace celeryspread
