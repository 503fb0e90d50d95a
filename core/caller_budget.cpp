#include "core/caller_budget.h"

#include <algorithm>
#include <cstdint>

namespace celeryspread {

namespace {

/// Room that a resumed connection is assumed to use before the next plan.
constexpr size_t kResumeBytes = 65'536;
/// A client that is a little late has not stalled.
constexpr unsigned kMinStalledSweeps = 2;
/// A request that is the only one to wait is closed after as many sweeps: it
/// needs more room than all others give back.
constexpr unsigned kMaxLonePausedSweeps = 10;

/// Paused connections in the order in which they get room: small ones first,
/// the smallest of them before the others, then those that have received most,
/// as they end soonest.
std::vector<size_t> PausedInOrder(const std::vector<RoomHolder>& aHolders)
{
  std::vector<size_t> paused;
  for (size_t i = 0; i < aHolders.size(); ++i) {
    if (aHolders[i].m_isPaused) {
      paused.push_back(i);
    }
  }
  std::sort(paused.begin(), paused.end(), [&](size_t aLeft, size_t aRight) {
    const size_t left = aHolders[aLeft].m_inputBytes;
    const size_t right = aHolders[aRight].m_inputBytes;
    const bool isLeftSmall = left < CallerBudget::kSmallBytes;
    const bool isRightSmall = right < CallerBudget::kSmallBytes;
    if (isLeftSmall != isRightSmall) {
      return isLeftSmall;
    }
    return isLeftSmall ? left < right : left > right;
  });
  return paused;
}

/// Connections that have stalled, paused or not, the first to close at the end.
std::vector<size_t> StalledInOrder(const std::vector<RoomHolder>& aHolders,
                                   bool aIsPaused)
{
  std::vector<size_t> stalled;
  for (size_t i = 0; i < aHolders.size(); ++i) {
    const RoomHolder& holder = aHolders[i];
    if (holder.m_isPaused == aIsPaused &&
        holder.m_stalledSweeps >= kMinStalledSweeps) {
      stalled.push_back(i);
    }
  }
  std::sort(stalled.begin(), stalled.end(), [&](size_t aLeft, size_t aRight) {
    const RoomHolder& left = aHolders[aLeft];
    const RoomHolder& right = aHolders[aRight];
    return left.m_stalledSweeps != right.m_stalledSweeps
             ? left.m_stalledSweeps < right.m_stalledSweeps
             : left.m_inputBytes > right.m_inputBytes;
  });
  return stalled;
}

} // namespace

void CallerBudget::Account::SetInput(size_t aBytes)
{
  m_budget.m_used = m_budget.m_used - m_input + aBytes;
  m_input = aBytes;
}

void CallerBudget::Account::SetOutput(size_t aBytes)
{
  m_budget.m_used = m_budget.m_used - m_output + aBytes;
  m_output = aBytes;
}

size_t CallerBudget::LargeLimit() const
{
  constexpr size_t kQuarters = 4;
  return m_limit - m_limit / kQuarters;
}

size_t CallerBudget::LimitFor(size_t aBytes) const
{
  return aBytes <= kSmallBytes
           ? m_limit
           : LargeLimit() - std::min(LargeLimit(), m_finishBytes);
}

bool CallerBudget::Account::TakeRoomFor(size_t aBytes)
{
  const size_t used = m_budget.m_used + aBytes;
  if (used <= m_budget.LimitFor(m_input + aBytes)) {
    return true;
  }
  if (m_budget.m_finishing == nullptr && m_input + aBytes > kSmallBytes &&
      used <= m_budget.LargeLimit()) {
    m_budget.m_finishing = this;
  }
  return m_budget.m_finishing == this && used <= m_budget.LargeLimit();
}

bool CallerBudget::Account::HasRoomForResponse(size_t aBytes) const
{
  const size_t limit =
    aBytes <= kSmallBytes ? m_budget.m_limit : m_budget.LargeLimit();
  return m_budget.m_used + aBytes <= limit;
}

void CallerBudget::Account::ReleaseFinish()
{
  if (m_budget.m_finishing == this) {
    m_budget.m_finishing = nullptr;
  }
}

RoomPlan PlanRoom(const CallerBudget& aBudget,
                  const std::vector<RoomHolder>& aHolders,
                  bool aMayGetRoom)
{
  RoomPlan plan;
  const std::vector<size_t> paused = PausedInOrder(aHolders);
  std::vector<size_t> stalled = StalledInOrder(aHolders, false);
  size_t used = aBudget.Used();
  bool mayFinish = !aBudget.HasFinishing();
  const auto hasRoom = [&](size_t aIndex) {
    const size_t needed = aHolders[aIndex].m_neededBytes;
    const size_t bytes = aHolders[aIndex].m_inputBytes + needed;
    const bool canFinish = aHolders[aIndex].m_isFinishing ||
                           (mayFinish && bytes > CallerBudget::kSmallBytes);
    return used + needed <=
           (canFinish ? aBudget.LargeLimit() : aBudget.LimitFor(bytes));
  };
  for (const size_t index : paused) {
    while (!hasRoom(index) && !stalled.empty()) {
      plan.m_toClose.push_back(stalled.back());
      used -= std::min(used, aHolders[stalled.back()].m_heldBytes);
      stalled.pop_back();
    }
    if (hasRoom(index)) {
      plan.m_toResume.push_back(index);
      mayFinish =
        mayFinish && aHolders[index].m_inputBytes < CallerBudget::kSmallBytes;
      used += std::max(kResumeBytes, aHolders[index].m_neededBytes);
    }
  }
  if (aMayGetRoom || paused.empty() || !plan.m_toResume.empty() ||
      !plan.m_toClose.empty()) {
    return plan;
  }
  std::vector<size_t> longPaused = StalledInOrder(aHolders, true);
  while (!hasRoom(paused.front()) && !longPaused.empty()) {
    const size_t index = longPaused.back();
    longPaused.pop_back();
    if (index != paused.front()) {
      plan.m_toClose.push_back(index);
      used -= std::min(used, aHolders[index].m_heldBytes);
    }
  }
  if (paused.size() == 1 &&
      aHolders[paused[0]].m_stalledSweeps >= kMaxLonePausedSweeps) {
    plan.m_toClose.push_back(paused[0]);
  }
  return plan;
}

size_t CallerBytesLimit(size_t aMemory, size_t aMaxRequestBytes)
{
  // The rest is for the process itself and for what upstreams send.
  constexpr size_t kDivisor = 3;
  // Three quarters of the budget must be enough for one request, which is
  // counted twice: it is copied to be forwarded.
  constexpr size_t kRequestFactor = 3;
  return aMemory == 0
           ? SIZE_MAX
           : std::max(aMemory / kDivisor, kRequestFactor * aMaxRequestBytes);
}

size_t CallerConnectionLimit(size_t aDescriptors, size_t aBytesLimit)
{
  constexpr size_t kQuarters = 4;
  return std::max<size_t>(
    1,
    std::min(aDescriptors - aDescriptors / kQuarters,
             aBytesLimit / CallerBudget::kConnectionBytes));
}

} // namespace celeryspread
