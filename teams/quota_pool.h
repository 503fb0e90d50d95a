#pragma once

#include <deque>
#include <map>
#include <vector>

#include "core/clock.h"
#include "routes/route_config.h"

namespace celeryspread {

/// Bounds on the use of quotas over all entries: in any window it stays within
/// (rate x window + burst) x (1 + overage) + slack.
struct QuotaBounds
{
  Duration m_window = std::chrono::seconds(8);
  double m_overage = 0;
  /// @unit tokens or calls.
  double m_slack = 0;
};

/// What an entry asks of one team's quota. @unit tokens or calls.
struct QuotaDemand
{
  TeamId m_team;
  /// Costs of calls that wait, in their order.
  std::vector<uint64_t> m_needed;
  /// Amount for calls to come, and the least of it that is of use.
  double m_wanted = 0;
  double m_least = 0;
  /// Unspent amount of earlier grants.
  double m_held = 0;
  /// Amount that the entry used in the last window.
  double m_used = 0;
  /// All that the process used without an owner.
  double m_usedAlone = 0;
  /// Unspent amount that the entry gives back; not part of m_held.
  double m_returned = 0;
  /// Ranks of the calls that wait, 0 for the most urgent; those that are
  /// missing are 0.
  std::vector<uint32_t> m_ranks;
};

/// One request of an entry.
struct QuotaRequest
{
  InstanceId m_entry;
  /// Random number of the entry's process.
  uint64_t m_process = 0;
  /// Number of the request in that process.
  uint64_t m_sequence = 0;
  /// Number of the last request whose answer has come; 0 for none.
  uint64_t m_answered = 0;
  /// Whether m_demands contains all that the entry used in the last window.
  bool m_reportsUse = false;
  std::vector<QuotaDemand> m_demands;
};

/// Amounts that were used in the last window, in steps of a tenth of a second.
/// @thread loop thread only.
class QuotaWindow
{
public:
  /// Adds an amount. @pre times don't decrease.
  void Add(double aAmount, TimePoint aNow);
  /// Returns the sum over the last aWindow. @pre times don't decrease.
  double Sum(Duration aWindow, TimePoint aNow);
  /// Returns the least amount, over all times up to aWindow, by which the use
  /// since then stays below aBurst and aRatePerSecond over that time.
  /// @pre as for Sum().
  double Headroom(double aBurst,
                  double aRatePerSecond,
                  Duration aWindow,
                  TimePoint aNow);

private:
  struct Step
  {
    TimePoint m_beganAt;
    double m_amount = 0;
  };
  std::deque<Step> m_steps;
  double m_sum = 0;
};

/// What an entry gets of one team's quota. @unit tokens or calls.
struct QuotaGrant
{
  TeamId m_team;
  uint64_t m_granted = 0;
  /// A waiting call was denied; its cost will be there after m_retryAfter.
  bool m_isDenied = false;
  Duration m_retryAfter{};
  /// Calls of the team were denied a moment ago, here or elsewhere.
  bool m_isScarce = false;
  /// The most urgent rank that was denied.
  uint32_t m_deniedRank = 0;
};

/// The quotas of all teams, at the owner. In any window a team may use its rate
/// over the window and its burst. Each team has a token bucket that is filled
/// with that amount over a window, so that a team over its quota is served
/// evenly. Less urgent calls leave a part of the bucket to the more urgent
/// ones, so that a team over its quota loses its least urgent calls first; a
/// share of the quota is theirs all the same. Entries hold parts of the bucket
/// for calls to come, which count as used until they are known to be spent.
///
/// A new owner does not know the use of the last window. Entries report theirs
/// with their first request; during its first window it grants no more than the
/// rate.
/// @thread loop thread only.
class QuotaPool
{
public:
  /// An entry that has had no answer for longer may use a part of its own.
  static constexpr Duration kSilentAfter = std::chrono::milliseconds(1500);
  /// What an entry holds expires this long after it was granted.
  static constexpr Duration kLeaseTime = std::chrono::seconds(5);

  /// Starts without teams. @pre none.
  explicit QuotaPool(QuotaBounds aBounds);

  /// Begins a term as owner. What earlier owners granted in this window is not
  /// known, so all buckets are empty. @pre none.
  void Begin(TimePoint aNow);
  /// Applies the quotas of a configuration. @pre none.
  void SetTeams(const std::vector<Team>& aTeams, TimePoint aNow);
  /// Sets how many entries share the quotas; 0 keeps the former number.
  /// @pre none.
  void SetEntryCount(uint32_t aCount);
  /// Answers a request of an entry's process. @pre none.
  std::vector<QuotaGrant> Take(const QuotaRequest& aRequest, TimePoint aNow);
  /// Returns how many entries share the quotas. @pre none.
  [[nodiscard]] uint32_t EntryCount() const { return m_entryCount; }

private:
  struct Held
  {
    double m_amount = 0;
    TimePoint m_reportedAt;
  };
  /// What a process used without an owner, as far as it is counted.
  struct Alone
  {
    uint64_t m_process = 0;
    double m_used = 0;
  };
  struct Denied
  {
    TimePoint m_at;
    double m_cost = 0;
  };
  struct Bucket
  {
    TeamQuota m_quota;
    double m_level = 0;
    TimePoint m_filledAt;
    /// What this owner granted, and what others or nobody granted, whose times
    /// are not known.
    QuotaWindow m_used;
    QuotaWindow m_reported;
    /// What this owner granted to calls that are not of the most urgent rank.
    QuotaWindow m_lessUrgent;
    std::map<InstanceId, Held> m_held;
    double m_totalHeld = 0;
    TimePoint m_expiryDue;
    std::map<InstanceId, Alone> m_alone;
    /// Denials of the last second.
    std::deque<Denied> m_denied;
    double m_totalDenied = 0;
    /// Set while the configuration does not name the team.
    std::optional<TimePoint> m_removedAt;
  };
  struct Entry
  {
    uint64_t m_process = 0;
    uint64_t m_sequence = 0;
    TimePoint m_seenAt;
    /// When the last request came whose answer the entry has.
    TimePoint m_answeredAt;
    /// Later requests and when they came.
    std::deque<std::pair<uint64_t, TimePoint>> m_unanswered;
    bool m_hasReportedUse = false;
  };

  /// Returns by how much the use of a window may exceed rate and burst.
  [[nodiscard]] double AllowedExcess(const TeamQuota& aQuota) const;
  /// Returns the part of the allowed excess that is granted.
  [[nodiscard]] double Excess(const TeamQuota& aQuota) const;
  /// Returns what may be used in a window.
  [[nodiscard]] double WindowLimit(const TeamQuota& aQuota) const;
  /// Returns what may be granted now, as far as the level permits.
  [[nodiscard]] double Unused(Bucket& aBucket, TimePoint aNow) const;
  /// Returns what may be granted now.
  [[nodiscard]] double Available(Bucket& aBucket, TimePoint aNow) const;
  /// Returns what a call of a rank leaves to more urgent ones.
  [[nodiscard]] double ReserveOf(Bucket& aBucket,
                                 uint32_t aRank,
                                 TimePoint aNow) const;
  /// Records a request of an entry and which of its earlier ones were answered.
  static void RecordContact(Entry& aEntry,
                            const QuotaRequest& aRequest,
                            TimePoint aNow);
  /// Updates m_heardShare, and forgets entries that are gone.
  void CountEntries(TimePoint aNow);
  void Fill(Bucket& aBucket, TimePoint aNow);
  static void SetHeld(Bucket& aBucket,
                      const InstanceId& aEntry,
                      double aAmount,
                      TimePoint aNow);
  /// Applies what an entry reports to hold and to give back; the difference
  /// was used.
  static void RecordHeld(Bucket& aBucket,
                         const InstanceId& aEntry,
                         const QuotaDemand& aDemand,
                         TimePoint aNow);
  /// Counts what an entry used without an owner. With aIsKnown, what it used
  /// until now is counted already.
  static void RecordAlone(Bucket& aBucket,
                          const QuotaRequest& aRequest,
                          double aUsedAlone,
                          bool aIsKnown,
                          TimePoint aNow);
  static void DropExpired(Bucket& aBucket, TimePoint aNow);
  QuotaGrant TakeFrom(Bucket& aBucket,
                      const InstanceId& aEntry,
                      const QuotaDemand& aDemand,
                      TimePoint aNow);
  /// Records a denied cost and returns when it will be there.
  Duration RecordDenied(Bucket& aBucket, double aCost, TimePoint aNow);

  QuotaBounds m_bounds;
  std::map<TeamId, Bucket> m_buckets;
  std::map<InstanceId, Entry> m_entries;
  uint32_t m_entryCount = 0;
  TimePoint m_begunAt;
  /// Part of the rates that is not left to silent entries, from 0 to 1.
  double m_heardShare = 1;
  TimePoint m_countDue;
};

} // namespace celeryspread
