#include "jasminearch/settings.h"
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

using namespace jasminearch;

namespace {

const std::string Common = "cluster = \"c\"\n"
                           "name = \"a\"\n"
                           "data_centre = \"salto\"\n"
                           "link_key = \"0123456789abcdef\"\n";
const std::string Hosts = "[[control_host]]\n"
                          "name = \"a\"\n"
                          "address = \"127.0.3.1:7000\"\n";

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(readsValidFile);
  CPPUNIT_TEST(refusesBadFiles);
  CPPUNIT_TEST(refusesControlHostThatIsNotListed);
  CPPUNIT_TEST(refusesBadEndpoints);
  CPPUNIT_TEST_SUITE_END();

  std::string File = "/tmp/jasminearch-settings-" + std::to_string(getpid());

  Expected<ControlSettings> load(const std::string &Text) {
    std::ofstream(File) << Text;
    return loadControlSettings(File);
  }

  ErrorCode codeOf(const std::string &Text) {
    const auto Loaded = load(Text);
    CPPUNIT_ASSERT(!Loaded);
    return Loaded.error().Code;
  }

public:
  void tearDown() override { std::remove(File.c_str()); }

  /// Guards against values that are read into the wrong field.
  void readsValidFile() {
    const auto Loaded = load(Common + "data_folder = \"/d\"\n" + Hosts);
    CPPUNIT_ASSERT(Loaded);
    CPPUNIT_ASSERT_EQUAL(std::string("salto"), Loaded->Common.DataCentre);
    CPPUNIT_ASSERT_EQUAL(std::string("/d"), Loaded->DataFolder);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.3.1:7000"),
                         toString(Loaded->ControlHosts.at(0).Address));
  }

  /// Guards against starting a program with a default value instead of
  /// reporting an error with line and key if a key is misspelt, missing or of
  /// the wrong type.
  void refusesBadFiles() {
    const std::string Folder = "data_folder = \"/d\"\n";
    CPPUNIT_ASSERT(ErrorCode::SettingsMalformed == codeOf("= nonsense"));
    CPPUNIT_ASSERT(ErrorCode::SettingsMissingKey == codeOf(Common + Hosts));
    CPPUNIT_ASSERT(ErrorCode::SettingsWrongType ==
                   codeOf(Common + "data_folder = 3\n" + Hosts));
    CPPUNIT_ASSERT(ErrorCode::SettingsMissingKey == codeOf(Common + Folder));
    CPPUNIT_ASSERT(ErrorCode::SettingsOutOfRange ==
                   codeOf(Common + Folder + "log_level = \"loud\"\n" + Hosts));
    CPPUNIT_ASSERT(ErrorCode::SettingsOutOfRange ==
                   codeOf(Common + Folder + Hosts + Hosts));
    const auto Unknown = load(Common + Folder + "colour = \"red\"\n" + Hosts);
    CPPUNIT_ASSERT(!Unknown);
    CPPUNIT_ASSERT(ErrorCode::SettingsUnknownKey == Unknown.error().Code);
    CPPUNIT_ASSERT(Unknown.error().Detail.find(":6: key \"colour\"") !=
                   std::string::npos);
    const auto Misspelt = load("nmae" + Common.substr(Common.find(" = \"a\"")) +
                               "cluster = \"c\"\n" + Folder + Hosts);
    CPPUNIT_ASSERT(!Misspelt);
    CPPUNIT_ASSERT(ErrorCode::SettingsUnknownKey == Misspelt.error().Code);
    CPPUNIT_ASSERT(ErrorCode::SettingsUnreadable ==
                   loadControlSettings("/nonexistent/x").error().Code);
  }

  /// Guards against a control host that starts under a name unknown to its
  /// peers and therefore never gets a vote.
  void refusesControlHostThatIsNotListed() {
    std::string Text = Common + "data_folder = \"/d\"\n" + Hosts;
    Text.replace(Text.find("name = \"a\""), 10, "name = \"z\"");
    CPPUNIT_ASSERT(ErrorCode::SettingsOutOfRange == codeOf(Text));
  }

  /// Guards against ports that overflow and against host names.
  void refusesBadEndpoints() {
    for (const char *Text : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                             "127.0.0.1:65536", "localhost:1", "1.2.3:4"})
      CPPUNIT_ASSERT(!parseEndpoint(Text));
    CPPUNIT_ASSERT(Endpoint({0x7F000001, 65535}) ==
                   parseEndpoint("127.0.0.1:65535"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace
