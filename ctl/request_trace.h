#pragma once

#include <istream>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace celeryspread {

/// Selects the lines about one request from the logs of several instances.
///
/// Besides the request's own lines, it selects as context the lines of the
/// kContextMillis before the request's last line that concern an engine which
/// the request was sent to, that concern any engine and the request's model and
/// adapter (such as load orders), or that its entry instance logged. Lines of
/// other requests are never context.
/// @thread one thread.
class RequestTrace
{
public:
  /// Length of the context: what makes a call fail, such as the loss of an
  /// engine, is logged within the seconds before. @unit milliseconds.
  static constexpr int64_t kContextMillis = 10'000;

  /// Traces one request. @pre aRequest is not empty.
  explicit RequestTrace(std::string aRequest);

  /// Reads one log that holds a JSON object in each line. Text before the
  /// object is ignored; lines without such an object or without a time are
  /// skipped and counted. @pre none.
  void AddLog(std::istream& aLog);
  /// Returns the selected lines, sorted by time. The order of lines from
  /// different instances is only as exact as their clocks agree. @pre none.
  /// @error empty when no line belongs to the request.
  [[nodiscard]] std::vector<nlohmann::ordered_json> SelectedLines() const;
  /// Returns the number of lines that were skipped. @pre none.
  [[nodiscard]] size_t SkippedLines() const { return m_skippedLines; }

private:
  struct Line
  {
    int64_t m_millis = 0;
    nlohmann::ordered_json m_json;
  };

  [[nodiscard]] bool BelongsToRequest(const Line& aLine) const;

  std::string m_request;
  std::vector<Line> m_lines;
  size_t m_skippedLines = 0;
};

} // namespace celeryspread
