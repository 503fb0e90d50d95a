#pragma once

#include <string>
#include <string_view>

#include "gateway/event_splitter.h"
#include "gateway/gateway_context.h"
#include "gateway/routed_call.h"

namespace celeryspread {

/// Passes the answer of an upstream on to the caller: a stream event by event,
/// any other answer once it is complete.
/// @thread loop thread only.
class AnswerRelay
{
public:
  enum class BodyError
  {
    None,
    /// The answer, or an event of it, exceeds every bound.
    Endless,
    /// A resumed stream did not continue after the last event.
    OutOfOrder
  };
  /// Result of bytes of a stream.
  struct StreamBytes
  {
    BodyError m_error = BodyError::None;
    /// Whole events, valid until the next call.
    std::string_view m_events;
  };

  /// Creates the relay of one call. @pre all arguments outlive it.
  AnswerRelay(GatewayContext& aContext, const RoutedCall& aCall);

  /// Prepares for the answer of another attempt: drops the body of the previous
  /// one. @pre none.
  void ClearBody();
  /// Stores the headers of the answer. @pre none.
  void SetHeaders(const HttpHeaders& aHeaders) { m_headers = aHeaders; }
  /// Starts the caller's stream, or continues it with another upstream's
  /// answer. @pre SetHeaders() was called. @error false if that one is another
  /// kind of content.
  bool StartStream(int aStatus);
  /// Adds bytes of a stream. @pre IsStreaming().
  StreamBytes AddStreamBytes(std::string_view aBytes);
  /// Sends whole events to the caller. @pre IsStreaming().
  /// @return whether the caller is slow, so that reading should pause.
  bool Send(std::string_view aEvents);
  /// Adds bytes of an answer that is not a stream; those of a rejection are
  /// only counted. @pre none.
  BodyError AppendBody(std::string_view aBytes, bool aIsRejected);
  /// Sends the whole answer to the caller. @pre it is complete and no stream.
  void Deliver(int aStatus);

  /// Returns whether the caller receives a stream. @pre none.
  [[nodiscard]] bool IsStreaming() const { return m_isStreaming; }
  /// Returns whether a stream may end before its first event. @pre none.
  [[nodiscard]] bool MayBeEmpty() const;
  /// Returns whether bytes of an incomplete event are buffered. @pre none.
  [[nodiscard]] bool HasPartialEvent() const
  {
    return m_events.HasPartialEvent();
  }
  /// Returns the id of the last event that was passed on. @pre none.
  [[nodiscard]] const std::string& LastEventId() const
  {
    return m_events.LastId();
  }
  /// Returns whether another upstream may go on with the answer, so that the
  /// caller gets each event once. @pre none.
  [[nodiscard]] bool MayResume() const { return m_events.MayResume(); }
  /// Expects the stream to go on after LastEventId(). @pre IsStreaming().
  void ExpectResume() { m_events.ExpectResume(); }

private:
  GatewayContext& m_context;
  const RoutedCall& m_call;
  bool m_isStreaming = false;
  HttpHeaders m_headers;
  /// Content type of the stream that the caller receives.
  std::string m_streamType;
  std::string m_body;
  /// Bytes of the body that have arrived, also those that are not kept.
  size_t m_bodyBytes = 0;
  /// Bytes of m_body, or of the stream's incomplete event.
  ByteBudget::Holding m_heldBody;
  EventSplitter m_events;
};

} // namespace celeryspread
