#include "bench/policy/policy_run.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace celeryspread::bench {

namespace {

using nlohmann::json;

constexpr int kEntries = 8;
constexpr Duration kReportPeriod = std::chrono::milliseconds(250);
constexpr Duration kReportLag = std::chrono::milliseconds(500);
constexpr Duration kSlowPeriod = std::chrono::seconds(15);
constexpr Duration kSlowLength = std::chrono::seconds(3);
constexpr double kSlowFactor = 10;
constexpr int64_t kMovePercent = 3;
constexpr double kPriorities = 1'000;
constexpr double kMicros = 1e6;

std::shared_ptr<const Catalog> FleetCatalog(int aEngines, uint32_t aSlots)
{
  json tree;
  tree["regions"]["r"]["failure_domains"]["d0"] = json::object();
  for (int i = 0; i < aEngines; ++i) {
    tree["upstreams"]["e" + std::to_string(i)] = { { "address", "127.0.0.1" },
                                                   { "port", 1 },
                                                   { "slots", aSlots },
                                                   { "failure_domain", "d0" } };
  }
  SettingsError error;
  return Catalog::Load(tree.dump(), Revision(1), error);
}

size_t IndexOf(const UpstreamId& aId)
{
  return std::stoul(aId.Value().substr(1));
}

} // namespace

PolicyRun::PolicyRun(const WorkloadCase& aCase,
                     const Policy& aPolicy,
                     RunFaults aFaults,
                     uint64_t aSeed)
  : m_case(aCase)
  , m_policy(aPolicy)
  , m_faults(aFaults)
  , m_random(aSeed)
  , m_start(m_world.Now())
{
  BuildFleet();
  for (WorkloadCall& call : MakeWorkload(m_case, m_random)) {
    CallRecord record;
    record.m_call = std::move(call);
    m_records.push_back(std::move(record));
  }
}

double PolicyRun::CapacityStepsPerSecond() const
{
  const double step = static_cast<double>(m_speed.m_tokenTime.count()) /
                      kMicros * (1 + m_speed.m_batchCost * m_speed.m_slots);
  return static_cast<double>(m_case.m_engines) * m_speed.m_slots / step;
}

void PolicyRun::BuildFleet()
{
  m_resident.resize(static_cast<size_t>(m_case.m_engines));
  for (int i = 0; i < m_case.m_engines; ++i) {
    m_engines.push_back(std::make_unique<SimEngine>(m_world, m_speed));
  }
  for (int model = 0; model < m_case.m_models; ++model) {
    for (int copy = 0; copy < m_case.m_copies; ++copy) {
      // A stride without common factor spreads hot models over the engines.
      const int engine = (model * 7 + copy * 5) % m_case.m_engines;
      m_resident[static_cast<size_t>(engine)].insert("m" +
                                                     std::to_string(model));
    }
  }
  const auto catalog = FleetCatalog(m_case.m_engines, m_speed.m_slots);
  for (int i = 0; i < kEntries; ++i) {
    auto entry = std::make_unique<Entry>(m_random.Below(UINT32_MAX));
    entry->m_table.SetCatalog(*catalog);
    entry->m_routing = m_policy.m_make(entry->m_table, entry->m_random);
    m_entries.push_back(std::move(entry));
  }
}

void PolicyRun::ScheduleReports()
{
  for (size_t i = 0; i < m_engines.size(); ++i) {
    const LoadReport report = m_engines[i]->Report(m_resident[i]);
    const bool isFirst = m_world.Now() == m_start;
    const Duration lag = isFirst ? Duration::zero() : kReportLag;
    m_world.At(m_world.Now() + lag, [this, i, report] {
      for (auto& entry : m_entries) {
        entry->m_table.ApplyReport(UpstreamId("e" + std::to_string(i)), report);
      }
    });
  }
  const bool isStopping = m_faults.m_reportsStopAt > Duration::zero() &&
                          m_world.Now() >= m_start + m_faults.m_reportsStopAt;
  if (!isStopping && m_world.Now() < m_start + m_case.m_length) {
    m_world.At(m_world.Now() + kReportPeriod, [this] { ScheduleReports(); });
  }
}

void PolicyRun::ScheduleFaults()
{
  for (int i = 0; i < m_faults.m_slowEngines; ++i) {
    SimEngine& engine = *m_engines[static_cast<size_t>(i) * 3];
    for (Duration at = kSlowPeriod; at < m_case.m_length; at += kSlowPeriod) {
      m_world.At(m_start + at, [&engine] { engine.SetSlowdown(kSlowFactor); });
      m_world.At(m_start + at + kSlowLength,
                 [&engine] { engine.SetSlowdown(1); });
    }
  }
  if (m_faults.m_engineDiesAt > Duration::zero()) {
    m_world.At(m_start + m_faults.m_engineDiesAt,
               [this] { m_engines.front()->Crash(); });
  }
}

RouteQuery PolicyRun::BuildQuery(const WorkloadCall& aCall) const
{
  RouteQuery query;
  query.m_engineName = aCall.m_model;
  query.m_maxQueued = m_policy.m_maxQueued;
  return query;
}

bool PolicyRun::PassGate(Entry& aEntry,
                         const CallRecord& aRecord,
                         const UpstreamId& aUpstream,
                         double aRank)
{
  if (!m_policy.m_hasGate) {
    return true;
  }
  const WorkloadCall& call = aRecord.m_call;
  GateQuery query;
  query.m_worth = call.m_worth;
  query.m_timeLeft = call.m_deadline;
  const UpstreamState& state = *aEntry.m_table.All().at(aUpstream);
  query.m_load = state.EstimatedLoad();
  query.m_slots = m_speed.m_slots;
  query.m_maxQueued = m_policy.m_maxQueued;
  return aEntry.m_gate.TryAdmit(aRank, query);
}

double PolicyRun::RankOf(Entry& aEntry, const WorkloadCall& aCall)
{
  const uint64_t tokens = aEntry.m_sizes.Predict(
    { aCall.m_service, aCall.m_model, aCall.m_maxTokens });
  return aEntry.m_gate.Rank(aCall.m_worth,
                            m_speed.m_tokenTime * static_cast<int64_t>(tokens));
}

void PolicyRun::Arrive(size_t aIndex)
{
  CallRecord& record = m_records[aIndex];
  Entry& entry = *m_entries[m_random.Below(m_entries.size())];
  const auto chosen =
    entry.m_routing->Choose(BuildQuery(record.m_call), m_world.Now());
  const double rank = RankOf(entry, record.m_call);
  if (!chosen || !PassGate(entry, record, *chosen, rank)) {
    record.m_isRefused = true;
    return;
  }
  Send(entry, record, *chosen, rank);
}

void PolicyRun::Send(Entry& aEntry,
                     CallRecord& aRecord,
                     const UpstreamId& aUpstream,
                     double aRank)
{
  const TimePoint sentAt = m_world.Now();
  aEntry.m_budget.NoteFirstAttempt(kMovePercent);
  aEntry.m_table.NoteStart(aUpstream, sentAt);
  if (m_policy.m_watchesSlowness) {
    aEntry.m_table.NoteAwaiting(aUpstream, sentAt);
  }
  struct Progress
  {
    bool m_hasFirst = false;
    bool m_isOver = false;
  };
  const auto progress = std::make_shared<Progress>();
  const auto noteFirst = [this, &aEntry, aUpstream, sentAt, progress] {
    if (!progress->m_hasFirst && m_policy.m_watchesSlowness) {
      aEntry.m_table.NoteFirstToken(aUpstream, sentAt, m_world.Now());
    }
    progress->m_hasFirst = true;
  };
  const WorkloadCall& call = aRecord.m_call;
  SimCall sim;
  sim.m_id = call.m_id;
  sim.m_model = call.m_model;
  sim.m_promptTokens = call.m_promptTokens;
  sim.m_outputTokens = call.m_outputTokens;
  if (m_policy.m_hasPriorities) {
    sim.m_priority = static_cast<int>(aRank * kPriorities);
  }
  sim.m_onFirstToken = [this, &aRecord, noteFirst] {
    aRecord.m_firstToken = m_world.Now() - m_start - aRecord.m_call.m_at;
    noteFirst();
  };
  sim.m_onDone = [this, &aEntry, &aRecord, aUpstream, sentAt, progress] {
    progress->m_isOver = true;
    ++aRecord.m_completions;
    aRecord.m_finished = m_world.Now() - m_start - aRecord.m_call.m_at;
    aRecord.m_isAnswered = aRecord.m_finished <= aRecord.m_call.m_deadline;
    aEntry.m_table.NoteEnd(aUpstream,
                           AttemptResult::Answered,
                           m_world.Now() - sentAt,
                           m_world.Now());
    aEntry.m_sizes.Learn({ aRecord.m_call.m_service,
                           aRecord.m_call.m_model,
                           aRecord.m_call.m_maxTokens },
                         static_cast<uint64_t>(aRecord.m_call.m_outputTokens));
  };
  SimEngine& engine = *m_engines[IndexOf(aUpstream)];
  if (m_policy.m_watchesSlowness) {
    RouteQuery query = BuildQuery(call);
    query.m_tried = { aUpstream };
    const Duration patience = aEntry.m_routing->Patience(query);
    m_world.At(sentAt + patience,
               [this,
                &aEntry,
                &aRecord,
                &engine,
                aUpstream,
                aRank,
                query,
                sentAt,
                progress,
                noteFirst] {
                 if (progress->m_hasFirst || progress->m_isOver) {
                   return;
                 }
                 const auto better =
                   aEntry.m_routing->ChooseFree(query, m_world.Now());
                 if (!better || !aEntry.m_budget.TryTake()) {
                   return;
                 }
                 progress->m_isOver = true;
                 noteFirst();
                 engine.Cancel(aRecord.m_call.m_id);
                 aEntry.m_table.NoteEnd(aUpstream,
                                        AttemptResult::Cancelled,
                                        m_world.Now() - sentAt,
                                        m_world.Now());
                 ++m_moved;
                 Send(aEntry, aRecord, *better, aRank);
               });
  }
  m_world.At(m_start + call.m_at + call.m_deadline,
             [this,
              &aEntry,
              &engine,
              aUpstream,
              sentAt,
              progress,
              noteFirst,
              id = call.m_id] {
               if (progress->m_isOver) {
                 return;
               }
               progress->m_isOver = true;
               noteFirst();
               engine.Cancel(id);
               aEntry.m_table.NoteEnd(aUpstream,
                                      AttemptResult::Cancelled,
                                      m_world.Now() - sentAt,
                                      m_world.Now());
             });
  engine.Submit(std::move(sim));
}

void PolicyRun::CheckPromises()
{
  for (const CallRecord& record : m_records) {
    if (record.m_completions > 1) {
      m_breaches.push_back("a call ran twice");
    }
    if (record.m_isRefused && record.m_completions > 0) {
      m_breaches.push_back("a refused call ran");
    }
  }
  for (const auto& engine : m_engines) {
    if (engine->PeakRunning() > m_speed.m_slots) {
      m_breaches.push_back("an engine ran more calls than it has slots");
    }
  }
  for (int model = 0; model < m_case.m_models; ++model) {
    const std::string name = "m" + std::to_string(model);
    const bool isHeld = std::any_of(
      m_resident.begin(), m_resident.end(), [&](const auto& aResident) {
        return aResident.contains(name);
      });
    if (!isHeld) {
      m_breaches.push_back(name + " was not reachable");
    }
  }
}

void PolicyRun::Run()
{
  ScheduleReports();
  ScheduleFaults();
  for (size_t i = 0; i < m_records.size(); ++i) {
    m_world.At(m_start + m_records[i].m_call.m_at, [this, i] { Arrive(i); });
  }
  const Duration slack = m_case.m_deadline * 40;
  m_world.RunFor(m_case.m_length + slack);
  CheckPromises();
}

} // namespace celeryspread::bench
