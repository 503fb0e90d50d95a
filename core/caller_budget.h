#pragma once

#include <cstddef>
#include <vector>

namespace celeryspread {

/// Counts the memory that the connections of a server hold for its clients:
/// requests, queued responses and the connections themselves.
/// @thread loop thread only.
class CallerBudget
{
public:
  /// Memory of a connection without a request, including its first read.
  static constexpr size_t kConnectionBytes = 16'384;
  /// Memory by which one read may exceed what was counted before it.
  static constexpr size_t kReadBytes = 9'216;
  /// A connection with less input is small. Small ones may use the whole
  /// budget, others three quarters of it, so that ordinary requests are served
  /// while large ones wait.
  static constexpr size_t kSmallBytes = 65'536;

  /// Starts without connections. aFinishBytes is kept for the one large request
  /// that may always go on to its end, so that requests never wait for one
  /// another without end. @pre aLimit > 0. @unit bytes.
  explicit CallerBudget(size_t aLimit, size_t aFinishBytes = 0)
    : m_limit(aLimit)
    , m_finishBytes(aFinishBytes)
  {
  }

  /// Memory of one connection; gives it back when destroyed.
  /// @thread loop thread only.
  class Account
  {
  public:
    /// Counts an idle connection. @pre aBudget outlives the account.
    explicit Account(CallerBudget& aBudget)
      : m_budget(aBudget)
    {
      m_budget.m_used += kConnectionBytes;
    }
    ~Account()
    {
      ReleaseFinish();
      m_budget.m_used -= Held();
    }
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Adds memory of the request. @pre none. @unit bytes.
    void AddInput(size_t aBytes) { SetInput(m_input + aBytes); }
    /// Replaces the memory of the request. @pre none. @unit bytes.
    void SetInput(size_t aBytes);
    /// Replaces the memory of the queued response. @pre none. @unit bytes.
    void SetOutput(size_t aBytes);
    /// Returns whether the request may take aBytes more; a large one for which
    /// there is no other room then becomes the one that goes on to its end, if
    /// there is none. @pre none. @unit bytes.
    bool TakeRoomFor(size_t aBytes);
    /// Returns whether a response of aBytes has room. @pre none. @unit bytes.
    [[nodiscard]] bool HasRoomForResponse(size_t aBytes) const;
    /// Lets another request go on to its end; this one is complete. @pre none.
    void ReleaseFinish();
    /// Returns whether this request goes on to its end. @pre none.
    [[nodiscard]] bool IsFinishing() const
    {
      return m_budget.m_finishing == this;
    }
    /// Returns the memory of the request. @pre none. @unit bytes.
    [[nodiscard]] size_t Input() const { return m_input; }
    /// Returns all memory of the connection. @pre none. @unit bytes.
    [[nodiscard]] size_t Held() const
    {
      return kConnectionBytes + m_input + m_output;
    }

  private:
    CallerBudget& m_budget;
    size_t m_input = 0;
    size_t m_output = 0;
  };

  /// Replaces the limits. @pre aLimit > 0. @unit bytes.
  void SetLimit(size_t aLimit, size_t aFinishBytes)
  {
    m_limit = aLimit;
    m_finishBytes = aFinishBytes;
  }
  /// Returns the limit. @pre none. @unit bytes.
  [[nodiscard]] size_t Limit() const { return m_limit; }
  /// Returns the memory of all connections. @pre none. @unit bytes.
  [[nodiscard]] size_t Used() const { return m_used; }
  /// Returns the limit for a request of which aBytes are held. @pre none.
  /// @unit bytes.
  [[nodiscard]] size_t LimitFor(size_t aBytes) const;
  /// Returns the limit for large responses and for the request that goes on to
  /// its end. @pre none. @unit bytes.
  [[nodiscard]] size_t LargeLimit() const;
  /// Returns whether a request goes on to its end. @pre none.
  [[nodiscard]] bool HasFinishing() const { return m_finishing != nullptr; }

private:
  size_t m_limit;
  size_t m_finishBytes;
  size_t m_used = 0;
  /// The request that goes on to its end.
  const Account* m_finishing = nullptr;
};

/// A connection as PlanRoom() sees it.
struct RoomHolder
{
  size_t m_heldBytes = 0;
  size_t m_inputBytes = 0;
  /// Whether reading is paused for want of room.
  bool m_isPaused = false;
  /// Whether it is the request that goes on to its end.
  bool m_isFinishing = false;
  /// Memory that it takes to go on when paused.
  size_t m_neededBytes = CallerBudget::kReadBytes;
  /// Consecutive sweeps in which the client neither sent nor took a byte that
  /// the server waited for, or in which reading was paused throughout.
  unsigned m_stalledSweeps = 0;
};

/// Connections to close and to read from again, as positions in the list that
/// PlanRoom() got.
struct RoomPlan
{
  std::vector<size_t> m_toClose;
  std::vector<size_t> m_toResume;
};

/// Chooses the paused connections that may go on. If there is no room for them,
/// closes stalled connections, the longest stalled first. If no room is to be
/// expected, closes paused connections, the longest paused first and of these
/// those that have received least.
/// @pre aBudget counts aHolders. @param aMayGetRoom whether other connections
/// are about to give room back. @thread any.
RoomPlan PlanRoom(const CallerBudget& aBudget,
                  const std::vector<RoomHolder>& aHolders,
                  bool aMayGetRoom);

/// Returns the budget of a server's clients in a process that may use aMemory.
/// It is never less than one request inside the limits needs; without a limit
/// for 0. @pre none. @unit bytes. @thread any.
size_t CallerBytesLimit(size_t aMemory, size_t aMaxRequestBytes);

/// Returns the number of connections that clients may have in a process with
/// the given limit on open descriptors; the rest is for its own connections.
/// @pre none. @thread any.
size_t CallerConnectionLimit(size_t aDescriptors, size_t aBytesLimit);

} // namespace celeryspread
