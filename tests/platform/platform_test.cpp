#include <map>
#include <regex>
#include <set>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "core/random_source.h"
#include "platform/call_codec.h"
#include "platform/engine_client.h"
#include "platform/route_document.h"
#include "settings/instance_settings.h"
#include "settings/node_settings.h"
#include "tests/support/gateway_fakes.h"

namespace celeryspread::test {

using platform::FormatOrder;
using platform::ParseInstanceListPage;
using platform::ParseInstanceLoad;
using platform::ParseReport;

namespace {

constexpr const char* kDocument = R"({"Version":7,
  "Routes":[{"Name":"r","Hostname":"h.example","PathPrefix":"/p/",
    "RouteKind":"streaming","TimeoutMs":12000,"AimMs":500,"Priority":1,
    "Split":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],
    "MaxAttempts":2,"Sticky":true,"Resumable":true,"GapTargetMs":200}],
  "Services":[{"Name":"s","HealthPath":"/healthz","MaxConns":370,
    "Engine":{"Slots":64,"KvCapacity":113991,"WeightsMb":230000.0,
      "AdapterSlots":5,"LoadsPerS":2.4,
      "Models":[{"Name":"m","WeightsMb":65099.99,"LoadTimeS":2.8,
        "Adapters":2,"AdapterSizeMb":12.0,"WarmS":0.45,"DiskLoadS":0.59}]}},
    {"Name":"t"}],
  "Limits":{"MaxHeaderBytes":16384}})";

/// Replaces aOld by aNew in a document and returns why it is rejected.
std::string RejectionReason(std::string aDocument,
                            const std::string& aOld,
                            const std::string& aNew)
{
  const size_t at = aDocument.find(aOld);
  EXPECT_NE(at, std::string::npos) << aOld;
  aDocument.replace(at, aOld.size(), aNew);
  std::string reason = "accepted";
  platform::PlatformRouteDocument().Read(aDocument, reason);
  return reason;
}

FakeCallerCall MakeCall(CallerRecord& aRecord, HttpHeaders aHeaders)
{
  return { aRecord, "POST", "/p/1", std::move(aHeaders) };
}

/// Returns all values of a header, each in brackets.
std::string HeaderValues(const HttpHeaders& aHeaders, const std::string& aName)
{
  std::string all;
  for (const HttpHeader& header : aHeaders) {
    if (header.m_name == aName) {
      all += "[" + header.m_value + "]";
    }
  }
  return all;
}

/// Renders a settings template as the platform does, with its own fields.
std::string RenderTemplate(const std::string& aFile,
                           const std::map<std::string, std::string>& aFields)
{
  const auto text =
    ReadWholeFile(std::string(CELERYSPREAD_SOURCE_DIR) + "/deploy/" + aFile);
  EXPECT_TRUE(text) << aFile;
  static const std::regex kPlaceholder(R"(\{\{([A-Za-z.0-9]+)(\|json)?\}\})");
  std::string rendered;
  std::sregex_iterator at(text->begin(), text->end(), kPlaceholder);
  auto end = text->cbegin();
  for (; at != std::sregex_iterator(); ++at) {
    rendered.append(end, (*at)[0].first);
    const auto field = aFields.find((*at)[1]);
    EXPECT_NE(field, aFields.end()) << (*at)[1];
    rendered += field == aFields.end() ? "" : field->second;
    end = (*at)[0].second;
  }
  rendered.append(end, text->cend());
  return rendered;
}

} // namespace

TEST(RouteDocumentTest, ReadsEveryField)
{
  std::string reason;
  const auto config = platform::PlatformRouteDocument().Read(kDocument, reason);
  ASSERT_NE(config, nullptr) << reason;
  EXPECT_EQ(config->Version(), Revision(7));
  const Route* route = config->Find("h.example", "/p/x");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->m_kind, CallKind::Stream);
  EXPECT_EQ(route->m_timeout, std::chrono::seconds(12));
  EXPECT_EQ(route->m_pools.size(), 2U);
  EXPECT_TRUE(route->m_isResumable);
  const Pool* pool = config->FindPool(PoolId("s"));
  ASSERT_NE(pool, nullptr);
  EXPECT_EQ(pool->m_engine->m_adapterSlots, 5U);
  const ModelSpec& model = pool->m_engine->m_models.at("m");
  EXPECT_EQ(model.m_megabytes, 65'100U);
  EXPECT_EQ(model.m_diskLoadTime, std::chrono::milliseconds(590));
  EXPECT_FALSE(config->FindPool(PoolId("t"))->m_engine);
}

// Guards against payments that run twice because their route carries the flag
// that permits streams to be resumed: it is valid there and has no effect.
TEST(RouteDocumentTest, ResumableHasNoEffectOnOtherKindsThanStreams)
{
  const std::string whole(kDocument);
  const std::string kind = "\"streaming\"";
  struct Expected
  {
    const char* m_kind;
    bool m_mayResume;
    bool m_mayRunAgain;
  };
  for (const Expected& expected :
       { Expected{ "\"streaming\"", true, true },
         Expected{ "\"idempotent\"", false, true },
         Expected{ "\"non_idempotent\"", false, false } }) {
    std::string document = whole;
    document.replace(document.find(kind), kind.size(), expected.m_kind);
    std::string reason;
    const auto config =
      platform::PlatformRouteDocument().Read(document, reason);
    ASSERT_NE(config, nullptr) << expected.m_kind << ": " << reason;
    const Route* route = config->Find("h.example", "/p/x");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->MayResume(), expected.m_mayResume) << expected.m_kind;
    EXPECT_EQ(route->MayRunAgain(), expected.m_mayRunAgain) << expected.m_kind;
  }
}

TEST(RouteDocumentTest, ReportsPathAndReasonOfAnError)
{
  EXPECT_EQ(RejectionReason(kDocument, "\"Version\":7", "\"Version\":-1"),
            "/Version: expected a whole number of 0 or more");
  EXPECT_EQ(RejectionReason(kDocument, "\"streaming\"", "\"other\""),
            "/Routes/0/RouteKind: expected streaming, idempotent or "
            "non_idempotent");
  EXPECT_EQ(
    RejectionReason(kDocument, "\"TimeoutMs\":12000", "\"TimeoutMs\":0"),
    "route \"r\": the timeout must be above 0");
  EXPECT_EQ(
    RejectionReason(kDocument, "\"Service\":\"t\"", "\"Service\":\"gone\""),
    "route \"r\": pool \"gone\" is not declared");
}

TEST(RouteDocumentTest, RejectsEveryTruncatedDocument)
{
  const std::string whole(kDocument);
  for (size_t length = 0; length < whole.size(); ++length) {
    std::string reason;
    EXPECT_EQ(
      platform::PlatformRouteDocument().Read(whole.substr(0, length), reason),
      nullptr)
      << length;
    EXPECT_NE(reason, "") << length;
  }
}

TEST(CallCodecTest, ReadsARequest)
{
  CallerRecord record;
  const auto callFields = platform::PlatformCallCodec().ReadCall(
    MakeCall(record,
             { { "Attempt-Id", "9c41" },
               { "Model", "daka/a3" },
               { "Token-Usage", "1460,80" },
               { "Prompt-Prefix", "5c:800, 91:410" },
               { "Deadline-Ms", "2500" } }));
  ASSERT_TRUE(callFields);
  EXPECT_EQ(callFields->m_attempt, AttemptId("9c41"));
  EXPECT_EQ(callFields->m_target, (ModelTarget{ "daka", "a3" }));
  EXPECT_EQ(callFields->m_promptTokens, 1460U);
  EXPECT_EQ(callFields->m_sharedParts,
            std::vector<PromptPartId>{ PromptPartId("5c") });
  EXPECT_EQ(callFields->m_callerTimeout, std::chrono::milliseconds(2500));
}

/// What the engine makes of a malformed list is the engine's business; it must
/// not get the call rejected here.
TEST(CallCodecTest, LeavesOutPromptPartsThatCantBeRead)
{
  const auto partsOf = [](const std::string& aPrefix) {
    CallerRecord record;
    return platform::PlatformCallCodec()
      .ReadCall(MakeCall(
        record, { { "Attempt-Id", "1" }, { "Prompt-Prefix", aPrefix } }))
      ->m_sharedParts;
  };
  EXPECT_TRUE(partsOf("").empty());
  EXPECT_TRUE(partsOf("5c:800").empty());
  EXPECT_TRUE(partsOf(",,").empty());
  EXPECT_TRUE(partsOf(std::string(65, 'a') + ":1,5c:1").empty());
  EXPECT_EQ(
    partsOf("5c:800, 91,7d:1"),
    (std::vector<PromptPartId>{ PromptPartId("5c"), PromptPartId("91") }));
}

TEST(CallCodecTest, ReadsTheLimitOnRequests)
{
  EXPECT_EQ(platform::ParseRateLimit("4.8"), 4.8);
  EXPECT_EQ(platform::ParseRateLimit(" 12 "), 12);
  EXPECT_GT(platform::ParseRateLimit("0"), 0);
  for (const char* text : { "", "x", "-1", "nan", "inf", "4.8x", "1e999" }) {
    EXPECT_FALSE(platform::ParseRateLimit(text)) << text;
  }
  const auto answer = platform::PlatformCallCodec().ReadAnswer(
    200, { { "Attempt-Id", "1" }, { "server-limit", "2.5" } });
  EXPECT_EQ(answer.m_rateLimit, 2.5);
}

TEST(CallCodecTest, ReadsThatAnEngineLeaves)
{
  platform::PlatformCallCodec codec;
  EXPECT_TRUE(codec.ReadAnswer(200, { { "Server-Leaving", "1" } }).m_isLeaving);
  EXPECT_TRUE(codec.ReadAnswer(503, { { "server-leaving", "1" } }).m_isLeaving);
  EXPECT_FALSE(
    codec.ReadAnswer(200, { { "Server-Leaving", "0" } }).m_isLeaving);
  EXPECT_FALSE(codec.ReadAnswer(200, { { "Server-Leaving", "" } }).m_isLeaving);
  EXPECT_FALSE(codec.ReadAnswer(200, {}).m_isLeaving);
}

/// A back-off that can't be read is none, and an absurd one must not shut an
/// engine out for good.
TEST(CallCodecTest, ReadsTheBackOffThatAnEngineAsksFor)
{
  platform::PlatformCallCodec codec;
  const auto backOff = [&](int aStatus, const char* aValue) {
    return codec.ReadAnswer(aStatus, { { "Retry-After", aValue } }).m_backOff;
  };
  EXPECT_EQ(backOff(503, "4"), std::chrono::seconds(4));
  EXPECT_EQ(backOff(503, " 0.25 "), std::chrono::milliseconds(250));
  EXPECT_EQ(backOff(503, "0"), Duration::zero());
  EXPECT_EQ(backOff(503, "1e300"), std::chrono::minutes(1));
  EXPECT_EQ(backOff(503, "86400"), std::chrono::minutes(1));
  EXPECT_FALSE(backOff(200, "4"));
  EXPECT_FALSE(backOff(429, "4"));
  for (const char* value : { "",
                             "soon",
                             "-1",
                             "nan",
                             "inf",
                             "-inf",
                             "4 s",
                             "4,5",
                             "Sat, 05 Dec 2026 13:00:00 GMT" }) {
    EXPECT_FALSE(backOff(503, value)) << value;
  }
}

// Guards against numbers that a cast makes arbitrary: an absurd load or time
// that an engine or a caller states would be planned with.
TEST(CallCodecTest, ReadsNumbersWithinBoundsOnly)
{
  const auto percent = [](const std::string& aText) {
    const auto load = platform::ParseInstanceLoad("3,0,8," + aText);
    return load ? std::optional(load->m_slownessPercent) : std::nullopt;
  };
  EXPECT_EQ(percent("250"), 250U);
  EXPECT_EQ(percent("0"), 1U);
  for (const char* text : { "1e9", "1e300" }) {
    EXPECT_EQ(percent(text), 100'000U) << text;
  }
  for (const char* text : { "nan", "inf", "-inf", "-1", "x", "" }) {
    EXPECT_FALSE(percent(text)) << text;
  }
  for (const char* text :
       { "4294967295,0,8", "0,4294967295,8", "1,1,2000000" }) {
    EXPECT_FALSE(platform::ParseInstanceLoad(text)) << text;
  }
  const auto deadline = [](const char* aText) {
    CallerRecord record;
    const auto callFields = platform::PlatformCallCodec().ReadCall(
      MakeCall(record, { { "Attempt-Id", "1" }, { "Deadline-Ms", aText } }));
    return callFields ? callFields->m_callerTimeout : std::nullopt;
  };
  EXPECT_EQ(deadline("0.5"), std::chrono::microseconds(500));
  EXPECT_EQ(deadline("1e300"), std::chrono::hours(24));
  for (const char* text : { "nan", "inf", "-1" }) {
    EXPECT_FALSE(deadline(text)) << text;
  }
}

TEST(CallCodecTest, RejectsMalformedHeaders)
{
  platform::PlatformCallCodec codec;
  CallerRecord record;
  const HttpHeader id{ "Attempt-Id", "1" };
  EXPECT_FALSE(codec.ReadCall(MakeCall(record, {})));
  EXPECT_FALSE(
    codec.ReadCall(MakeCall(record, { id, { "Deadline-Ms", "x" } })));
  EXPECT_FALSE(
    codec.ReadCall(MakeCall(record, { id, { "Token-Usage", "1" } })));
}

TEST(CallCodecTest, RemovesReservedHeadersOfACaller)
{
  CallerRecord record;
  AttemptFields fields;
  fields.m_upstream = UpstreamId("i-1");
  fields.m_timeLeft = std::chrono::milliseconds(900);
  const auto headers = platform::PlatformCallCodec().AttemptHeaders(
    MakeCall(record,
             { { "Host", "h.example" },
               { "Attempt-Id", "1" },
               { "deadline-ms", "5000" },
               { "Expect-Instance", "i-9" },
               { "Hold", "h" },
               { "Pin-Ms", "1" },
               { "Kv-Backup", "x" },
               { "Kv-From", "x" },
               { "Connection", "close, X-Own" },
               { "X-Own", "1" },
               { "X-Other", "2" } }),
    fields);
  EXPECT_EQ(HeaderValues(headers, "Deadline-Ms"), "[900]");
  EXPECT_EQ(HeaderValues(headers, "deadline-ms"), "");
  EXPECT_EQ(HeaderValues(headers, "Expect-Instance"), "[i-1]");
  for (const char* dropped :
       { "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Connection", "X-Own" }) {
    EXPECT_EQ(HeaderValues(headers, dropped), "") << dropped;
  }
  EXPECT_EQ(HeaderValues(headers, "X-Other"), "[2]");
  EXPECT_EQ(HeaderValues(headers, "Host"), "[h.example]");
}

TEST(CallCodecTest, ReadsNotExecutedMisdirectedAndSignedAnswers)
{
  platform::PlatformCallCodec codec;
  EXPECT_TRUE(codec.ReadAnswer(503, { { "not-executed", "1" } }).m_hasNotRun);
  EXPECT_TRUE(codec.ReadAnswer(421, {}).m_isMisdirected);
  EXPECT_FALSE(codec.ReadAnswer(503, {}).m_hasNotRun);
  const auto answer =
    codec.ReadAnswer(200,
                     { { "Server-Stamp", "s" },
                       { "Instance-Load", "3,1,8,250" },
                       { "Keep-Alive", "timeout=4, max=9" } });
  EXPECT_TRUE(answer.m_isSigned);
  EXPECT_EQ(answer.m_load->m_slownessPercent, 250U);
  EXPECT_FALSE(
    codec
      .ReadAnswer(200, { { "Server-Stamp", "s" }, { "Content-Encoding", "x" } })
      .m_isSigned);
}

TEST(EngineClientTest, SkipsMalformedListEntries)
{
  const auto page = ParseInstanceListPage(R"({"Instances":[
    {"Id":"i-1","Service":"s","Address":"10.0.0.9:80","Zone":"z","Slots":32,
     "State":"draining","born":17,"Version":"v7",
     "Models":[{"Name":"m","Version":2,"Adapters":["a1"]}],
     "Resident":{"InMemory":["x"],"OnDisk":["y"]}},
    {"Id":"i-2","Service":"s","Address":"nowhere","Zone":"z","State":"ready"},
    {"Id":3},{"Id":"i-4","Service":"s","Address":"10.0.0.9:81","Zone":"z",
     "State":"odd"},7],"Next":"p-50"})");
  ASSERT_TRUE(page);
  EXPECT_EQ(page->m_skippedEntries, 4U);
  ASSERT_EQ(page->m_engines.size(), 1U);
  const EngineRecord& engine = page->m_engines[0];
  EXPECT_TRUE(engine.m_isLeaving);
  EXPECT_EQ(engine.m_startedAt, 17);
  EXPECT_EQ(engine.m_software, SoftwareVersion("v7"));
  EXPECT_TRUE(engine.Holds({ "m", "a1" }));
  EXPECT_EQ(engine.m_cachedWeights, (std::set<std::string>{ "x", "y" }));
  EXPECT_EQ(page->m_nextToken, "p-50");
  EXPECT_FALSE(ParseInstanceListPage("{\"Instances\":"));
}

/// One entry of another writer that could not be read hid all engines: the list
/// counted as not read, and after a restart nothing was served.
TEST(EngineClientTest, OddListEntriesDoNotHideTheOthers)
{
  const std::string field = R"({"Id":"odd","Service":"s","Zone":"z",)"
                            R"("State":"ready","Address":"1.2.3.4:5",)";
  const std::string deep(100'000, '[');
  const std::string odd[] = {
    "{\"Id\":\"\xff\"}",
    "{\"Id\":\"\xd0\",\"Models\":[{\"Name\":\"a\"},{\"Name\":\"b\"}]}",
    field + R"("Id":"twice"})",
    field + "\"Models\":" + deep + std::string(deep.size(), ']') + "}",
    field + "\"Models\":" + deep,
    field + R"("Slots":1e999})",
    field + R"("Slots":-1e999})",
    field + R"("Slots":0})",
    field + R"("Slots":99999999999999999999999})",
    field + R"("Slots":4294967297})",
    field + R"("Slots":"8"})",
    field + R"("born":18446744073709551615})",
    field + R"("born":1.5})",
    R"({"Id":"odd","Service":"s","Zone":"z","State":"ready","Address":"1.2.3.4:99999"})",
    R"({"Id":"odd","Service":"s","Zone":"z","State":"ready","Address":"1.2.3.4:0"})",
    R"({"Id":"odd","Service":"s","Zone":"z","State":"ready","Address":"1.2.3.4:-5"})",
    R"({"Id":"odd","Service":"s","Zone":"z","State":"ready","Address":"host:5"})",
    R"({"Id":"odd","Service":"s","Zone":"z","State":"ready","Address":"999.2.3.4:5"})",
    R"({"Id":"odd","Service":"s","Zone":"z","State":"gone","Address":"1.2.3.4:5"})",
    "{\"Id\":\"odd",
    "{\"Id\":\"odd\"",
    "{\"Id\":\"odd\",\"Models\":[{\"Name\":\"a\"},{\"Name\":\"b\"}],x}",
    "{\"Id\":\"odd\\",
    "}}]]",
    "]",
    "{{{[[",
    "\xff\xfe{",
    std::string("\0\1", 2),
    "{\"Id\":\"o\nd\"}",
    "null",
    "5",
    "\"text\"",
    "[]",
    "",
  };
  const auto sound = [](const std::string& aId) {
    return R"({"Id":")" + aId +
           R"(","Service":"s","Address":"1.2.3.4:5","Zone":"z","State":"ready",)"
           R"("Slots":8,"Models":[{"Name":"m"},{"Name":"n","Adapters":["a1"]}]})";
  };
  for (const std::string& entry : odd) {
    for (size_t position = 0; position < 3; ++position) {
      std::vector<std::string> entries = { sound("e1"), sound("e2") };
      entries.insert(entries.begin() + static_cast<std::ptrdiff_t>(position),
                     entry);
      const std::string body = R"({"Instances":[)" + entries[0] + "," +
                               entries[1] + ", " + entries[2] +
                               R"(],"Next":"p-50"})";
      const std::string name =
        entry.substr(0, 60) + " at " + std::to_string(position);
      const auto page = ParseInstanceListPage(body);
      ASSERT_TRUE(page) << name;
      std::set<std::string> ids;
      for (const EngineRecord& engine : page->m_engines) {
        ids.insert(engine.m_id.Value());
      }
      EXPECT_EQ(ids, (std::set<std::string>{ "e1", "e2" })) << name;
      EXPECT_EQ(page->m_nextToken, "p-50") << name;
    }
  }
}

/// Each field of an entry with each kind of odd value: the entry may name its
/// engine or not, and never hides the others.
TEST(EngineClientTest, OddFieldsOfAListEntryDoNotHideTheOthers)
{
  const std::string sound =
    R"("Service":"s","Address":"1.2.3.4:5","Zone":"z","Version":"v1",)"
    R"("State":"ready"})";
  const char* const fields[] = { "Id",       "Service",    "Address",
                                 "Zone",     "Version",    "Slots",
                                 "State",    "Phase",      "ColdLeftMs",
                                 "Models",   "born",       "Resident",
                                 "Adapters", "RemainingMs" };
  const std::string values[] = {
    "null",
    "true",
    "-1",
    "1.5",
    "1e999",
    "-1e999",
    "99999999999999999999999",
    "\"\"",
    "\"\xff\"",
    "\"\\ud800\"",
    "[]",
    "{}",
    "[null]",
    "[[]]",
    "[{}]",
    R"([{"Name":5}])",
    R"([{"Name":"m","Version":-1,"Adapters":{"a":1}}])",
    R"({"InMemory":5,"OnDisk":[5,null,"m"]})",
    std::string(40, '[') + std::string(40, ']'),
    std::string(5000, '['),
    "",
    "x",
    "\x01",
  };
  for (const char* field : fields) {
    for (const std::string& value : values) {
      const std::string odd =
        "{\"Id\":\"odd\",\"" + std::string(field) + "\":" + value + "," + sound;
      const std::string body = R"({"Instances":[{"Id":"e1",)" + sound + "," +
                               odd + R"(,{"Id":"e2",)" + sound +
                               R"(],"Next":"p-50"})";
      const auto page = ParseInstanceListPage(body);
      const std::string name = std::string(field) + ": " + value.substr(0, 30);
      ASSERT_TRUE(page) << name;
      EXPECT_EQ(page->m_nextToken, "p-50") << name;
      std::set<std::string> ids;
      for (const EngineRecord& engine : page->m_engines) {
        ids.insert(engine.m_id.Value());
      }
      EXPECT_TRUE(ids.contains("e1") && ids.contains("e2")) << name;
    }
  }
}

/// A page that was cut short must not count as the whole list.
TEST(EngineClientTest, RejectsEveryTruncatedListPage)
{
  const std::string body =
    R"({"Instances":[{"Id":"i","Service":"s","Address":"1.2.3.4:5",)"
    R"("Zone":"z","State":"ready","Models":[{"Name":"m"}]},{"Id":"o"}],)"
    R"("Next":null})";
  for (size_t length = 0; length < body.size(); ++length) {
    EXPECT_FALSE(ParseInstanceListPage(body.substr(0, length))) << length;
  }
  EXPECT_TRUE(ParseInstanceListPage(body));
}

TEST(EngineClientTest, ReadsAReport)
{
  const auto report = ParseReport(
    R"({"Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":true,"Seq":2,
        "Waiting":1,"Running":12,"Pending":["m/a2@1"]})");
  ASSERT_TRUE(report);
  EXPECT_TRUE(report->m_isBusy);
  EXPECT_EQ(report->m_sequence, 2U);
  EXPECT_TRUE(report->m_loadingAdapters.contains({ "m", "a2" }));
  EXPECT_FALSE(ParseReport(R"({"Models":[]})"));
}

TEST(EngineClientTest, FormatsAnOrder)
{
  const EngineOrder order{
    EngineOrderKind::Unload, { "m", "a1" }, InstanceId("c1"), FencingToken(4), 9
  };
  EXPECT_EQ(FormatOrder(order),
            R"({"Adapter":"a1","Expect":9,"Fence":4,"Holder":"c1",)"
            R"("Model":"m","Op":"unload"})");
}

/// A caller may name an adapter with any bytes. An order for one that was no
/// UTF-8 ended the leading control process.
TEST(EngineClientTest, FormatsAnOrderForANameOfAnyBytes)
{
  for (const char* name : { "\xff", "a\xd0", "\xc0\x80", "\xed\xa0\x80" }) {
    const EngineOrder order{ EngineOrderKind::Load,
                             { name, name },
                             InstanceId("c1"),
                             FencingToken(4),
                             9 };
    const auto body = nlohmann::json::parse(FormatOrder(order), nullptr, false);
    EXPECT_TRUE(body.is_object()) << name;
  }
}

/// The report of an engine in trouble has no end. The control process held all
/// of it in memory until it was killed.
TEST(EngineClientTest, GivesUpAnAnswerWithoutEnd)
{
  FakeUpstreamClient client;
  RecordingEventLog log;
  platform::EngineClient engines(client, log, { "10.0.0.9", 80 });
  int replies = 0;
  engines.ReadReport(MakeEngine("e1", "here"),
                     [&](const std::optional<EngineReport>& aReport) {
                       EXPECT_FALSE(aReport);
                       ++replies;
                     });
  engines.ReadList([&](const auto& aEngines) {
    EXPECT_FALSE(aEngines);
    ++replies;
  });
  const std::string filler(1'048'576, ' ');
  for (const auto& attempt : client.m_attempts) {
    attempt->m_observer->OnUpstreamHeaders(200, {});
    for (int i = 0; i < 64 && !attempt->m_isCancelled; ++i) {
      attempt->m_observer->OnUpstreamBody(filler);
    }
    EXPECT_TRUE(attempt->m_isCancelled);
  }
  EXPECT_EQ(replies, 2);
}

/// Malformed input from outside must not crash a parser. Feeds the parsers
/// truncated valid texts with up to three random bytes changed.
TEST(PlatformFuzzTest, ParsersSurviveMutatedInput)
{
  const std::string corpus[] = {
    kDocument,
    R"({"Instances":[{"Id":"i","Service":"s","Address":"1.2.3.4:5",)"
    R"("Zone":"z","State":"ready","Models":[{"Name":"m"}]}],"Next":null})",
    R"({"Models":[],"Seq":1,"Pending":["a/b@1"]})",
    "3,1,8,100"
  };
  SeededRandomSource random(11);
  for (int i = 0; i < 4000; ++i) {
    std::string text = corpus[random.Below(std::size(corpus))];
    for (uint64_t changes = random.Below(4); changes > 0; --changes) {
      text[random.Below(text.size())] = static_cast<char>(random.Below(256));
    }
    text.resize(random.Below(text.size() + 1));
    std::string reason;
    platform::PlatformRouteDocument().Read(text, reason);
    ParseInstanceListPage(text);
    ParseReport(text);
    ParseInstanceLoad(text);
    ParseAddress(text);
    NodeSettingsReader().Parse(text);
  }
}

TEST(NodeSettingsTest, ReadsSettingsAndReportsErrors)
{
  NodeSettingsReader reader;
  const auto settings = reader.Parse(
    R"({"instance":"c1","failure_domain":"z","address":"10.0.0.1",
        "wire_port":7380,"seeds":["10.0.0.2:8144"],
        "regions":{"z":"r"},"retry_ratio":"0.25"})");
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->m_seeds.front().m_address, "10.0.0.2");
  EXPECT_EQ(settings->m_retryRatio, 0.25);
  EXPECT_FALSE(reader.Parse(
    R"({"instance":"c1","failure_domain":"z","address":"10.0.0.1",
        "wire_port":7380,"seeds":["nowhere"]})"));
  ASSERT_EQ(reader.Errors().size(), 1U);
  EXPECT_EQ(reader.Errors()[0].m_path, "/seeds");
}

/// A deployment that is played at a smaller size has fractions in bounds that
/// are whole numbers elsewhere. Every process ended at once with a settings
/// error.
TEST(NodeSettingsTest, TemplatesAcceptFractionsInEveryBound)
{
  const std::map<std::string, std::string> fields = {
    { "NodeName", R"("core-a-1")" },
    { "Zone", R"("z")" },
    { "Zones", R"({"z":"r"})" },
    { "Ip", R"("10.1.0.30")" },
    { "PortRange.0", "7380" },
    { "PortRange.1", "7395" },
    { "Seeds", R"(["10.1.0.33:8144"])" },
    { "Listen.ControlPlane", R"("10.1.0.30:8144")" },
    { "Listen.Frontend", R"("10.1.0.30:8149")" },
    { "Listen.Ready", R"("10.1.0.30:8141")" },
    { "Bootstrap", "true" },
    { "DataDir", R"("/data")" },
    { "Limits.MemoryMb", "160.5" },
    { "FaultTolerance.Machines", "2" },
    { "CloudApi.Address", R"("10.200.0.100:8142")" },
    { "CloudApi.RatePerS", "44.25" },
    { "Bounds.Fencing", "true" },
    { "Bounds.LeaseMs", "3000.5" },
    { "Bounds.CeilingWindowS", "5.25" },
    { "Bounds.RetryRatio", "0.125" },
    { "Bounds.RetrySlack", "33.05263157894737" },
    { "Bounds.RetryWindowS", "9.5" },
    { "Bounds.FailClosed", "true" },
    { "Bounds.RevokeMs", "4500.5" },
    { "Bounds.ConfigApplyMs", "3500" },
    { "Bounds.QuotaWindowS", "7.5" },
    { "Bounds.QuotaOverage", "0.125" },
    { "Bounds.QuotaSlack", "7400.5" },
  };
  NodeSettingsReader reader;
  for (const char* file : { "entry.json.tmpl", "control.json.tmpl" }) {
    // Addresses appear inside a string as well.
    std::string text = RenderTemplate(file, fields);
    const std::string inner = R"(""10.1.0.30":9464")";
    const size_t at = text.find(inner);
    ASSERT_NE(at, std::string::npos) << text;
    text.replace(at, inner.size(), R"("10.1.0.30:9464")");
    const auto settings = reader.Parse(text);
    ASSERT_TRUE(settings) << reader.Errors().front().Text();
    if (settings->m_operatorAddress.m_port == 0) {
      EXPECT_EQ(settings->m_retryRatio, 0.125);
      EXPECT_EQ(settings->m_retrySlack, 33U);
      EXPECT_EQ(settings->m_retryWindow, std::chrono::milliseconds(9500));
      EXPECT_TRUE(settings->m_keysFailClosed);
      EXPECT_EQ(settings->m_keyProofTime, std::chrono::microseconds(4'500'500));
      EXPECT_EQ(settings->m_routeProofTime, std::chrono::milliseconds(3500));
    } else {
      EXPECT_EQ(settings->m_engineListCallsPerSecond, 44.25);
      EXPECT_EQ(settings->m_ownerLease, std::chrono::microseconds(3'000'500));
      EXPECT_EQ(settings->m_storeWindow, std::chrono::milliseconds(5250));
      EXPECT_EQ(settings->m_quotaWindow, std::chrono::milliseconds(7500));
      EXPECT_EQ(settings->m_quotaOverage, 0.125);
      EXPECT_EQ(settings->m_quotaSlack, 7400.5);
    }
  }
}

/// A deployment without teams leaves their bounds empty in its settings.
TEST(NodeSettingsTest, EmptyBoundsOfTeamsAreDefaults)
{
  NodeSettingsReader reader;
  const auto settings = reader.Parse(
    R"({"instance":"c1","failure_domain":"z","address":"10.0.0.1",
        "wire_port":7380,"keys_fail_closed":"","key_proof_ms":"",
        "quota_window_s":"","quota_overage":"","quota_slack":""})");
  ASSERT_TRUE(settings) << reader.Errors().front().Text();
  EXPECT_FALSE(settings->m_keysFailClosed);
  EXPECT_EQ(settings->m_keyProofTime, std::chrono::seconds(5));
  EXPECT_EQ(settings->m_quotaWindow, std::chrono::seconds(8));
  EXPECT_EQ(settings->m_quotaSlack, 0);
}

TEST(NodeSettingsTest, RejectsNumbersWithATailOrWithoutABound)
{
  for (const char* number :
       { R"("0.5x")", R"("nan")", R"("inf")", R"("-1")" }) {
    NodeSettingsReader reader;
    EXPECT_FALSE(
      reader.Parse(std::string(R"({"instance":"c1","failure_domain":"z",
        "address":"10.0.0.1","wire_port":7380,"retry_ratio":)") +
                   number + "}"))
      << number;
  }
}

} // namespace celeryspread::test
