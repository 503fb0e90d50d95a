#pragma once

namespace celeryspread {

/// HTTP status codes that the system sends or checks for.
struct HttpStatus
{
  static constexpr int kContinue = 100;
  static constexpr int kOk = 200;
  static constexpr int kNoContent = 204;
  static constexpr int kNotModified = 304;
  static constexpr int kBadRequest = 400;
  static constexpr int kUnauthorized = 401;
  static constexpr int kForbidden = 403;
  static constexpr int kNotFound = 404;
  static constexpr int kMethodNotAllowed = 405;
  static constexpr int kRequestTimeout = 408;
  static constexpr int kConflict = 409;
  static constexpr int kTooLarge = 413;
  static constexpr int kMisdirected = 421;
  static constexpr int kUnprocessable = 422;
  static constexpr int kTooManyRequests = 429;
  /// Not a registered code; recorded when the caller closed the connection.
  static constexpr int kClientClosed = 499;
  static constexpr int kFirstServerError = 500;
  static constexpr int kBadGateway = 502;
  static constexpr int kUnavailable = 503;
  static constexpr int kGatewayTimeout = 504;
  static constexpr int kInsufficientStorage = 507;

  /// Returns whether a status is a success. @pre none. @thread any.
  static constexpr bool IsSuccess(int aStatus)
  {
    constexpr int kFirstRedirect = 300;
    return aStatus >= kOk && aStatus < kFirstRedirect;
  }
  /// Returns whether a status is that of a final answer, neither interim nor
  /// invalid. @pre none. @thread any.
  static constexpr bool IsFinal(int aStatus)
  {
    constexpr int kLastServerError = 599;
    return aStatus >= kOk && aStatus <= kLastServerError;
  }
  /// Returns whether an answer has no body whatever length it states.
  /// @pre none. @thread any.
  static constexpr bool HasNoBody(int aStatus)
  {
    return aStatus == kNoContent || aStatus == kNotModified;
  }
  /// Returns whether callers take a status as a guarantee that the call did not
  /// run. @pre none. @thread any.
  static constexpr bool PromisesNoRun(int aStatus)
  {
    return aStatus == kUnavailable || aStatus == kTooManyRequests ||
           aStatus == kRequestTimeout || aStatus == kMisdirected;
  }
};

} // namespace celeryspread
