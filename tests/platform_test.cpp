#include "documents.h"
#include "node_settings.h"
#include "packet_format.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace jasminearch;
using namespace jasminearch::platform;
using namespace std::chrono_literals;

namespace {

Bytes bytes(const std::string &Hex) {
  Bytes All;
  for (std::size_t I = 0; I + 1 < Hex.size(); I += 3)
    All.push_back(
        static_cast<std::uint8_t>(std::stoi(Hex.substr(I, 2), nullptr, 16)));
  return All;
}

/// Example of an opening packet from the platform's documentation.
const std::string OpeningPacket =
    "01 bb c6 12 00 01 64 40 00 07 9c 41 01 00 00 00 00 00 00 00 00 00 a1 b2 "
    "c3 d5 11 22 33 44 00 00 00 00";
const std::string ResetPacket =
    "9c 41 64 40 00 07 c6 12 00 01 01 bb 08 00 00 00 00 00 00 00 00 00 00 00 "
    "00 00 00 00 00 00 00 00 00 00";

class PacketFormatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketFormatTest);
  CPPUNIT_TEST(decodesOpeningPacket);
  CPPUNIT_TEST(encodesReset);
  CPPUNIT_TEST(distinguishesReturnedPackets);
  CPPUNIT_TEST(changesOnlyUncoveredFields);
  CPPUNIT_TEST(refusesWrongLengths);
  CPPUNIT_TEST_SUITE_END();

  const flow::PacketCodec Codec = packetCodec();

public:
  void decodesOpeningPacket() {
    const auto P =
        Codec.Decode(bytes(OpeningPacket), flow::Direction::FromCaller);
    CPPUNIT_ASSERT(P.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001>198.18.0.1:443"),
                         toString(P->Flow));
    CPPUNIT_ASSERT(P->Opens && !P->Acknowledges && !P->Finishes && !P->Resets);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x11223344}, P->Sequence);
  }

  void encodesReset() {
    const auto P =
        Codec.Decode(bytes(OpeningPacket), flow::Direction::FromCaller);
    CPPUNIT_ASSERT(Codec.EncodeReset({P->Flow, 0}) == bytes(ResetPacket));
  }

  /// Guards against taking a packet that the upstream returned for an answer.
  void distinguishesReturnedPackets() {
    Bytes Raw = bytes(OpeningPacket);
    const auto UpstreamPacket =
        Codec.Decode(Raw, flow::Direction::FromUpstream);
    CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1:443>100.64.0.7:40001"),
                         toString(UpstreamPacket->Flow));
    Raw[12] |= 2;
    const auto ReturnedPacket =
        Codec.Decode(Raw, flow::Direction::FromUpstream);
    CPPUNIT_ASSERT(ReturnedPacket->Returned);
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001>198.18.0.1:443"),
                         toString(ReturnedPacket->Flow));
  }

  /// Guards against changing fields that the sender's checksum covers.
  void changesOnlyUncoveredFields() {
    Bytes Raw = bytes(OpeningPacket);
    Codec.SetTag(absl::MakeSpan(Raw), 0x01020304);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x01020304},
                         Codec.Decode(Raw, flow::Direction::FromCaller)->Tag);
    Raw[12] |= 2;
    Raw[13] = 7;
    Codec.ClearMarks(absl::MakeSpan(Raw));
    CPPUNIT_ASSERT(Raw == bytes(OpeningPacket));
  }

  void refusesWrongLengths() {
    const Bytes Raw = bytes(OpeningPacket);
    for (std::size_t Size = 0; Size < Raw.size(); ++Size) {
      const auto P =
          Codec.Decode({Raw.data(), Size}, flow::Direction::FromCaller);
      CPPUNIT_ASSERT(!P && P.error().Code == ErrorCode::PacketMalformed);
    }
    Bytes Longer = Raw;
    Longer.push_back(0);
    CPPUNIT_ASSERT(!Codec.Decode(Longer, flow::Direction::FromCaller));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketFormatTest);

const std::string Configuration =
    R"({"version":7,"routes":[{"name":"r-a","hostname":"198.18.0.1",)"
    R"("path_prefix":"/8443/","type":"safe","timeout_ms":2500,)"
    R"("target_latency_ms":150,"priority":2,"traffic_split":)"
    R"([{"service":"one","weight":90},{"service":"two","weight":10}],)"
    R"("max_attempts":2},{"name":"r-b","hostname":"198.18.0.2",)"
    R"("path_prefix":"/8443/","type":"download","timeout_ms":8000,)"
    R"("service":"two"}],"services":[{"name":"one"},{"name":"two"}],)"
    R"("limits":{"idle_timeout_ms":15000}})";

std::string replaceFirst(std::string Text, const std::string &Old,
                         const std::string &New) {
  const auto At = Text.find(Old);
  CPPUNIT_ASSERT(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

class DocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentsTest);
  CPPUNIT_TEST(readsAConfiguration);
  CPPUNIT_TEST(refusesInvalidConfigurations);
  CPPUNIT_TEST(refusesTruncatedConfigurations);
  CPPUNIT_TEST(readsAHeartbeat);
  CPPUNIT_TEST(refusesMalformedHeartbeats);
  CPPUNIT_TEST(refusesHeartbeatsWithoutAField);
  CPPUNIT_TEST(refusesValuesOutOfRangeInHeartbeats);
  CPPUNIT_TEST(refusesValuesOutOfRangeInConfigurations);
  CPPUNIT_TEST(refusesDeeplyNestedDocuments);
  CPPUNIT_TEST(boundsTheErrorsOfLongDocuments);
  CPPUNIT_TEST_SUITE_END();

  /// \returns the error code if \p Body is rejected as a configuration.
  static std::optional<ErrorCode> rejectionCode(const std::string &Body) {
    const auto Table = readConfiguration(Body);
    if (!Table)
      return Table.error().Code;
    const auto Checked = flow::checkRoutes(*Table);
    return Checked ? std::nullopt : std::optional(Checked.error().Code);
  }

public:
  void readsAConfiguration() {
    const auto Table = readConfiguration(Configuration);
    CPPUNIT_ASSERT(Table.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Table->Version);
    const flow::Route &R = Table->Routes.at(0);
    CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1:8443"), toString(R.Address));
    CPPUNIT_ASSERT(R.Kind == flow::RequestKind::Idempotent);
    CPPUNIT_ASSERT(R.Timeout == 2500ms && R.LatencyObjective == 150ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, R.Targets.size());
    CPPUNIT_ASSERT_EQUAL(10.0, R.Targets.at(1).Weight);
    CPPUNIT_ASSERT(Table->IdleTimeout == 15s);
    CPPUNIT_ASSERT(!rejectionCode(Configuration));
  }

  void refusesInvalidConfigurations() {
    const std::vector<std::pair<std::string, std::string>> Changes = {
        {"\"service\":\"two\"}],\"services", "\"service\":\"x\"}],\"services"},
        {"198.18.0.2", "198.18.0.1"},
        {"\"timeout_ms\":8000", "\"timeout_ms\":0"},
        {"\"weight\":90", "\"weight\":-90"},
        {",\"weight\":90", ""},
        {"\"type\":\"safe\"", "\"type\":\"odd\""},
        {"\"version\":7", "\"version\":\"7\""},
        {"\"version\":7", "\"version\":-7"},
        {"/8443/", "/port/"},
        {"\"version\":7,", ""},
        {"\"timeout_ms\":2500,", ""},
    };
    for (const auto &[Old, New] : Changes)
      CPPUNIT_ASSERT_MESSAGE(
          New, rejectionCode(replaceFirst(Configuration, Old, New)));
  }

  void refusesTruncatedConfigurations() {
    for (std::size_t Size = 0; Size < Configuration.size(); ++Size)
      CPPUNIT_ASSERT(rejectionCode(Configuration.substr(0, Size)));
  }

  const std::string HeartbeatBody =
      R"({"service":"one","address":"10.128.0.9:8080","zone":"z",)"
      R"("version":"v1","concurrency_limit":4,"state":"draining",)"
      R"("cold_remaining_ms":120,"sequence":4,"born":1790000000000})";

  void readsAHeartbeat() {
    const auto H = readHeartbeat("i-1", HeartbeatBody);
    CPPUNIT_ASSERT(H.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), toString(H->Address));
    CPPUNIT_ASSERT(H->Upstream.State == flow::UpstreamState::Draining);
    CPPUNIT_ASSERT(H->Upstream.ColdRemaining == 120ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1790000000000}, H->Upstream.StartedAtMs);
  }

  /// Guards against a malformed request that makes a running upstream
  /// unavailable.
  void refusesMalformedHeartbeats() {
    const std::vector<std::pair<std::string, std::string>> Changes = {
        {"\"draining\"", "\"resting\""},
        {"\"sequence\":4", "\"sequence\":\"4\""},
        {"\"concurrency_limit\":4,", ""},
        {"\"service\":\"one\"", "\"service\":1"},
        {"10.128.0.9:8080", "here"},
        {"1790000000000", "1.5"},
        {"{\"service\"", "[\"service\""},
        {"\"version\":\"v1\"", "\"version\":1"},
        {"\"zone\":\"z\"", "\"zone\":[\"z\"]"},
    };
    for (const auto &[Old, New] : Changes) {
      const auto H =
          readHeartbeat("i-1", replaceFirst(HeartbeatBody, Old, New));
      CPPUNIT_ASSERT_MESSAGE(New, !H);
      CPPUNIT_ASSERT(H.error().Code == ErrorCode::DocumentMalformed);
    }
    CPPUNIT_ASSERT(!readHeartbeat("", HeartbeatBody));
  }

  /// Guards against a heartbeat of another writer that is taken for the
  /// upstream's next start: without "born" it counted as the first one, and
  /// "zone", "version" and "cold_remaining_ms" weren't looked at.
  void refusesHeartbeatsWithoutAField() {
    const auto Whole = nlohmann::json::parse(HeartbeatBody);
    for (const auto &Item : Whole.items()) {
      const std::string &Key = Item.key();
      auto Body = Whole;
      Body.erase(Key);
      CPPUNIT_ASSERT_MESSAGE(Key, !readHeartbeat("i-1", Body.dump()));
      for (const nlohmann::json &Odd :
           {nlohmann::json(nullptr), nlohmann::json(true),
            nlohmann::json::array(), nlohmann::json::object(),
            Item.value().is_string() ? nlohmann::json(1)
                                     : nlohmann::json("1")}) {
        Body[Key] = Odd;
        CPPUNIT_ASSERT_MESSAGE(Key + " " + Odd.dump(),
                               !readHeartbeat("i-1", Body.dump()));
      }
    }
    auto WithNewField = Whole;
    WithNewField["weight"] = 3;
    CPPUNIT_ASSERT(readHeartbeat("i-1", WithNewField.dump()).has_value());
  }

  /// Values that no number in a document may have.
  const std::vector<std::string> BadNumbers = {
      "-1",      "1.5",    "18446744073709551616",
      "1e300",   "-1e300", "\"4\"",
      "\"NaN\"", "null",   "[]",
      "{}",      "true"};

  /// \returns a JSON text nested to \p Depth.
  static std::string nested(std::size_t Depth) {
    return std::string(Depth, '[') + std::string(Depth, ']');
  }

  /// Replaces the value of \p Key, the first one in \p Body.
  static std::string withValue(const std::string &Body, const std::string &Key,
                               const std::string &Value) {
    const std::string Start = "\"" + Key + "\":";
    const std::size_t From = Body.find(Start) + Start.size();
    const std::size_t To = Body[From] == '"'   ? Body.find('"', From + 1) + 1
                           : Body[From] == '[' ? Body.find(']', From) + 1
                                               : Body.find_first_of(",}", From);
    return Body.substr(0, From) + Value + Body.substr(To);
  }

  void assertNamesTheKey(const std::optional<Error> &Refused,
                         const std::string &Key, const std::string &Value) {
    const std::string Case = Key + " = " + Value;
    CPPUNIT_ASSERT_MESSAGE(Case, Refused.has_value());
    CPPUNIT_ASSERT_MESSAGE(Case, Refused->Code == ErrorCode::DocumentMalformed);
    CPPUNIT_ASSERT_MESSAGE(Case + ": " + Refused->Detail,
                           Refused->Detail.find(Key) != std::string::npos);
  }

  std::optional<Error> heartbeatError(const std::string &Body) {
    const auto H = readHeartbeat("i-1", Body);
    return H ? std::optional<Error>() : H.error();
  }

  std::optional<Error> configurationError(const std::string &Body) {
    const auto Table = readConfiguration(Body);
    return Table ? std::optional<Error>() : Table.error();
  }

  /// Guards against an odd heartbeat of another writer: a number that is
  /// converted to a different one, or that no sound heartbeat ever exceeds.
  void refusesValuesOutOfRangeInHeartbeats() {
    for (const char *Key :
         {"concurrency_limit", "cold_remaining_ms", "sequence", "born"})
      for (const std::string &Value : BadNumbers)
        assertNamesTheKey(heartbeatError(withValue(HeartbeatBody, Key, Value)),
                          Key, Value);
    const std::vector<std::pair<std::string, std::string>> OutOfRange = {
        {"concurrency_limit", "0"},
        {"concurrency_limit", "4294967297"},
        {"cold_remaining_ms", "9223372036854775808"},
        {"born", "9223372036854775807"},
        {"address", "\"10.128.0.9:0\""},
        {"address", "\"10.128.0.9:65536\""},
        {"address", "\"10.128.0.9:99999999999999999999\""},
        {"service", "\"\""},
        {"service", "\"" + std::string(1'000'000, 's') + "\""},
        {"service", nested(100'000)},
        {"state", nested(100'000)},
    };
    for (const auto &[Key, Value] : OutOfRange)
      assertNamesTheKey(heartbeatError(withValue(HeartbeatBody, Key, Value)),
                        Key, Value.substr(0, 40));
    CPPUNIT_ASSERT(
        heartbeatError(withValue(HeartbeatBody, "sequence", "1e999")));
    CPPUNIT_ASSERT(heartbeatError(withValue(HeartbeatBody, "sequence", "NaN")));
    CPPUNIT_ASSERT(!heartbeatError(
        withValue(HeartbeatBody, "sequence", "18446744073709551615")));
    CPPUNIT_ASSERT(!readHeartbeat(std::string(1'000'000, 'n'), HeartbeatBody));
    CPPUNIT_ASSERT(!heartbeatError(HeartbeatBody));
  }

  /// Guards against a configuration in force that isn't what was sent, because
  /// a number was cut, and against flows that go nowhere because weights add up
  /// to infinity.
  void refusesValuesOutOfRangeInConfigurations() {
    CPPUNIT_ASSERT(!configurationError(Configuration));
    for (const char *Key : {"version", "timeout_ms", "target_latency_ms",
                            "priority", "idle_timeout_ms"})
      for (const std::string &Value : BadNumbers)
        assertNamesTheKey(
            configurationError(withValue(Configuration, Key, Value)), Key,
            Value);
    const std::vector<std::pair<std::string, std::string>> OutOfRange = {
        {"timeout_ms", "9223372036854775808"},
        {"priority", "4294967296"},
        {"weight", "1e300"},
        {"weight", "-1"},
        {"weight", "\"90\""},
        {"routes", "null"},
        {"routes", "7"},
        {"services", "null"},
        {"traffic_split", "null"},
        {"path_prefix", "\"/0/\""},
        {"path_prefix", "\"/65536/\""},
        {"hostname", "\"" + std::string(1'000'000, '1') + "\""},
        {"hostname", nested(100'000)},
    };
    for (const auto &[Key, Value] : OutOfRange) {
      const auto Refused =
          configurationError(withValue(Configuration, Key, Value));
      CPPUNIT_ASSERT_MESSAGE(Key + " = " + Value.substr(0, 40),
                             Refused.has_value());
    }
    CPPUNIT_ASSERT(
        configurationError(withValue(Configuration, "weight", "1e999")));
  }

  /// Guards against processes that end because a document exhausts their stack.
  void refusesDeeplyNestedDocuments() {
    for (const std::string &Body :
         {nested(100'000), std::string(100'000, '['), std::string(100'000, '{'),
          "{\"version\":" + nested(100'000) + "}"}) {
      CPPUNIT_ASSERT(heartbeatError(Body));
      CPPUNIT_ASSERT(configurationError(Body));
    }
  }

  /// Guards against responses and log lines as long as the refused document.
  void boundsTheErrorsOfLongDocuments() {
    const std::string Long(1'000'000, 'x');
    for (const std::string &Body :
         {Long, "\"" + Long, "{\"" + Long + "\":1}"}) {
      const auto Refused = heartbeatError(Body);
      CPPUNIT_ASSERT(Refused && Refused->Detail.size() <= 1000);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentsTest);

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(readsTheFile);
  CPPUNIT_TEST(refusesBadFiles);
  CPPUNIT_TEST(refusesWrongZones);
  CPPUNIT_TEST_SUITE_END();

  static Expected<NodeSettings> load(const std::string &Text) {
    const std::string File = "node-settings-test.toml";
    std::ofstream(File) << Text;
    auto Read = loadNodeSettings(File);
    std::remove(File.c_str());
    return Read;
  }

  const std::string Text = R"(
node_name = "side-1"
ip = "10.1.0.12"
zone = "z"
internal_port_range = [7720,7735]
seed_nodes = ["10.1.0.16:8166","10.2.0.45:8166"]
bootstrap = true
app = "10.1.0.12:8165"
service = "orders"
unknown_field = 3
[bind_addresses]
packet_address = "10.1.0.12:8172"
[fault_tolerance]
machines = 2
[bounds]
reuse_after_s = 3
)";

public:
  void readsTheFile() {
    const auto S = load(Text);
    CPPUNIT_ASSERT(S.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{7720}, S->InternalPort);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, S->Seeds.size());
    CPPUNIT_ASSERT(S->FirstStart && S->ToleratedLosses == 2);
    CPPUNIT_ASSERT(S->AddressReuseDelay == 3s);
    CPPUNIT_ASSERT(S->Upstream && !S->Outbound);
    CPPUNIT_ASSERT_EQUAL(std::string("orders"), S->Service);
  }

  void refusesBadFiles() {
    CPPUNIT_ASSERT(!load("node_name = "));
    CPPUNIT_ASSERT(!load(replaceFirst(Text, "\"10.1.0.16:8166\"", "\"x\"")));
    CPPUNIT_ASSERT(!load(replaceFirst(Text, "[7720,7735]", "[]")));
    CPPUNIT_ASSERT(!load(replaceFirst(Text, "node_name = \"side-1\"", "")));
    CPPUNIT_ASSERT(
        !load(replaceFirst(Text, "service = \"orders\"", "service = 7")));
    CPPUNIT_ASSERT(!loadNodeSettings("no-such-file.toml"));
  }

  /// Guards against misspelt zones that pass for unknown ones, with which any
  /// data centre and region is accepted.
  void refusesWrongZones() {
    for (const std::string Wrong :
         {"zones = \"x\"", "zones = [\"x\"]", "zones = {a = 1}", "region = 7"})
      CPPUNIT_ASSERT_MESSAGE(
          Wrong, !load(replaceFirst(Text, "unknown_field = 3", Wrong)));
    const auto Read =
        load(replaceFirst(Text, "unknown_field = 3", "zones = {z = \"r\"}"));
    CPPUNIT_ASSERT(Read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), Read->Region);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

} // namespace
