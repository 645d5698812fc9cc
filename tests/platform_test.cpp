#include "documents.h"
#include "node_settings.h"
#include "packet_format.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fstream>

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

/// The platform's own example of an opening packet.
const std::string OpeningPacket =
    "01 bb c6 12 00 01 64 40 00 07 9c 41 01 00 00 00 00 00 00 00 00 00 a1 b2 "
    "c3 d5 11 22 33 44 00 00 00 00";
const std::string ResetPacket =
    "9c 41 64 40 00 07 c6 12 00 01 01 bb 08 00 00 00 00 00 00 00 00 00 00 00 "
    "00 00 00 00 00 00 00 00 00 00";

class PacketFormatTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketFormatTest);
  CPPUNIT_TEST(readsThePlatformsExample);
  CPPUNIT_TEST(writesThePlatformsReset);
  CPPUNIT_TEST(readsDirections);
  CPPUNIT_TEST(changesOnlyWhatIsFree);
  CPPUNIT_TEST(refusesWrongLengths);
  CPPUNIT_TEST_SUITE_END();

  const flow::PacketCodec Codec = packetCodec();

public:
  void readsThePlatformsExample() {
    const auto P =
        Codec.Decode(bytes(OpeningPacket), flow::Direction::FromCaller);
    CPPUNIT_ASSERT(P.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001>198.18.0.1:443"),
                         toString(P->Flow));
    CPPUNIT_ASSERT(P->Opens && !P->Acknowledges && !P->Finishes && !P->Resets);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0x11223344}, P->Sequence);
  }

  void writesThePlatformsReset() {
    const auto P =
        Codec.Decode(bytes(OpeningPacket), flow::Direction::FromCaller);
    CPPUNIT_ASSERT(Codec.EncodeReset({P->Flow, 0}) == bytes(ResetPacket));
  }

  /// Guards against a returned packet that is taken for an answer.
  void readsDirections() {
    Bytes Raw = bytes(OpeningPacket);
    const auto Toward = Codec.Decode(Raw, flow::Direction::FromUpstream);
    CPPUNIT_ASSERT_EQUAL(std::string("198.18.0.1:443>100.64.0.7:40001"),
                         toString(Toward->Flow));
    Raw[12] |= 2;
    const auto Back = Codec.Decode(Raw, flow::Direction::FromUpstream);
    CPPUNIT_ASSERT(Back->Returned);
    CPPUNIT_ASSERT_EQUAL(std::string("100.64.0.7:40001>198.18.0.1:443"),
                         toString(Back->Flow));
  }

  /// Guards against a packet that no longer matches its sender's sum.
  void changesOnlyWhatIsFree() {
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

std::string replaced(std::string Text, const std::string &Old,
                     const std::string &New) {
  const auto At = Text.find(Old);
  CPPUNIT_ASSERT(At != std::string::npos);
  return Text.replace(At, Old.size(), New);
}

class DocumentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DocumentsTest);
  CPPUNIT_TEST(readsAConfiguration);
  CPPUNIT_TEST(refusesInvalidConfigurations);
  CPPUNIT_TEST(refusesCutConfigurations);
  CPPUNIT_TEST(readsAHeartbeat);
  CPPUNIT_TEST(refusesForeignHeartbeats);
  CPPUNIT_TEST_SUITE_END();

  /// \returns why \p Body may not be put in force.
  static std::optional<ErrorCode> refusal(const std::string &Body) {
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
    CPPUNIT_ASSERT(!refusal(Configuration));
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
      CPPUNIT_ASSERT_MESSAGE(New, refusal(replaced(Configuration, Old, New)));
  }

  void refusesCutConfigurations() {
    for (std::size_t Size = 0; Size < Configuration.size(); ++Size)
      CPPUNIT_ASSERT(refusal(Configuration.substr(0, Size)));
  }

  const std::string Beat =
      R"({"service":"one","address":"10.128.0.9:8080","zone":"z",)"
      R"("version":"v1","concurrency_limit":4,"state":"draining",)"
      R"("cold_remaining_ms":120,"sequence":4,"born":1790000000000})";

  void readsAHeartbeat() {
    const auto H = readHeartbeat("i-1", Beat);
    CPPUNIT_ASSERT(H.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("10.128.0.9:8080"), toString(H->Address));
    CPPUNIT_ASSERT(H->Upstream.State == flow::UpstreamState::Draining);
    CPPUNIT_ASSERT(H->Upstream.ColdRemaining == 120ms);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1790000000000}, H->Upstream.StartedAtMs);
  }

  /// Guards against another writer's call that takes an upstream away.
  void refusesForeignHeartbeats() {
    const std::vector<std::pair<std::string, std::string>> Changes = {
        {"\"draining\"", "\"resting\""},
        {"\"sequence\":4", "\"sequence\":\"4\""},
        {"\"concurrency_limit\":4,", ""},
        {"\"service\":\"one\"", "\"service\":1"},
        {"10.128.0.9:8080", "here"},
        {"1790000000000", "1.5"},
        {"{\"service\"", "[\"service\""},
    };
    for (const auto &[Old, New] : Changes) {
      const auto H = readHeartbeat("i-1", replaced(Beat, Old, New));
      CPPUNIT_ASSERT_MESSAGE(New, !H);
      CPPUNIT_ASSERT(H.error().Code == ErrorCode::DocumentMalformed);
    }
    CPPUNIT_ASSERT(!readHeartbeat("", Beat));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DocumentsTest);

class NodeSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NodeSettingsTest);
  CPPUNIT_TEST(readsTheFile);
  CPPUNIT_TEST(refusesBadFiles);
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
    CPPUNIT_ASSERT(S->AddressReuse == 3s);
    CPPUNIT_ASSERT(S->Upstream && !S->Outbound);
  }

  void refusesBadFiles() {
    CPPUNIT_ASSERT(!load("node_name = "));
    CPPUNIT_ASSERT(!load(replaced(Text, "\"10.1.0.16:8166\"", "\"x\"")));
    CPPUNIT_ASSERT(!load(replaced(Text, "[7720,7735]", "[]")));
    CPPUNIT_ASSERT(!load(replaced(Text, "node_name = \"side-1\"", "")));
    CPPUNIT_ASSERT(!loadNodeSettings("no-such-file.toml"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeSettingsTest);

} // namespace
