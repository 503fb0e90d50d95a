#pragma once

#include <istream>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace celeryspread {

/// Collects what the logs of several instances say of one request.
///
/// Besides the request's own lines these are the lines about the engines that
/// it was sent to, about orders for its model and adapter, and those that tell
/// what its entry believed, within kContextMillis before its end.
/// @thread one thread.
class RequestTrace
{
public:
  /// A stream and the state of an engine are decided in the seconds before.
  static constexpr int64_t kContextMillis = 10'000;

  /// Traces one request. @pre aRequest is not empty.
  explicit RequestTrace(std::string aRequest);

  /// Reads one log, a JSON object a line; other lines, and what stands before
  /// the object, are skipped. @pre none.
  void Read(std::istream& aLog);
  /// Returns the chosen lines in order of time. Clocks of instances may
  /// differ, so the order between them is as exact as these. @pre none.
  /// @error empty when no line names the request.
  [[nodiscard]] std::vector<nlohmann::ordered_json> Lines() const;
  /// Returns the lines that were skipped. @pre none.
  [[nodiscard]] size_t Skipped() const { return m_skipped; }

private:
  struct Line
  {
    int64_t m_millis = 0;
    nlohmann::ordered_json m_json;
  };

  [[nodiscard]] bool IsOwn(const Line& aLine) const;

  std::string m_request;
  std::vector<Line> m_lines;
  size_t m_skipped = 0;
};

} // namespace celeryspread
