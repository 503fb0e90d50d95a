#pragma once

#include <memory>

#include "http/caller_call.h"

namespace celeryspread {

/// A call that another entry forwarded, as the gateway sees it: without the
/// headers between the two entries. Answers that are this entry's own tell the
/// other one whether the call has certainly not run.
/// @thread loop thread only.
class ForwardedCallerCall : public CallerCall
{
public:
  /// Wraps a received call. @pre aCall is not null.
  explicit ForwardedCallerCall(std::unique_ptr<CallerCall> aCall);

  [[nodiscard]] std::string_view Method() const override;
  [[nodiscard]] std::string_view Path() const override;
  [[nodiscard]] std::string_view Query() const override;
  [[nodiscard]] std::string Target() const override;
  [[nodiscard]] std::optional<std::string_view> Header(
    const char* aName) const override;
  [[nodiscard]] HttpHeaders AllHeaders() const override;
  [[nodiscard]] std::string_view Body() override;
  void SetObserver(CallerObserver* aObserver) override;
  void Reply(int aStatus,
             const HttpHeaders& aHeaders,
             std::string_view aBody) override;
  void StartStream(int aStatus, const HttpHeaders& aHeaders) override;
  void SendChunk(std::string_view aBytes) override;
  void EndStream() override;
  void Abort() override;
  [[nodiscard]] size_t PendingBytes() const override;

private:
  std::unique_ptr<CallerCall> m_call;
};

} // namespace celeryspread
