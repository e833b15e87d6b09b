// Guards against settings and configuration files that are misread or loaded in part, and against
// errors without the file, line and field of their cause.
#include "wire/yaml.h"

#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

namespace jackdawwind::wire {
namespace {

TEST(Yaml, ReportsFileLineFieldAndExpectedValue)
{
  struct Case
  {
    const char* text;
    std::uint32_t line;
    const char* field;
    const char* expected;
  };
  const Case cases[] = {
    { "", 0, "", "one YAML document" },
    { "# nothing\n", 0, "", "one YAML document" },
    { "a: [\n", 2, "", "a YAML document" },
    { "policy: {}\n---\npolicy: {}\n", 0, "", "one YAML document" },
    { "- 1\n", 1, "", "an object" },
    { "organisations:\n  - name: a\n    rate: 1\n",
      2,
      "organisations[0].burst",
      "a value for this required field" },
    { "organisations:\n  - name: a\n    rate: fast\n    burst: 1\n",
      3,
      "organisations[0].rate",
      "a number" },
    { "organisations:\n  - {name: a, rate: '5', burst: 1}\n",
      2,
      "organisations[0].rate",
      "a number" },
    { "organisations:\n  - {name: 5, rate: 5, burst: 1}\n",
      2,
      "organisations[0].name",
      "a string" },
    { "organisations:\n  - {name: a, rate: .inf, burst: 1}\n",
      2,
      "organisations[0].rate",
      "a finite number" },
    { "policy:\n  kind: goodput\n  retry_allowance: 3\n  retry_alowance: 3\n",
      4,
      "policy.retry_alowance",
      "no field of this name" },
    { "policy:\n  kind: best\n", 2, "policy.kind", "one of goodput, fairness" },
    { "policy:\n  retry_ratio: 2\n", 2, "policy.retry_ratio", "a value from 0 to 1" },
    { "policy:\n  max_depth: 1\n  max_depth: 2\n",
      3,
      "policy.max_depth",
      "each field at most once" },
    { "policy:\n  max_depth: 18446744073709551616\n",
      2,
      "policy.max_depth",
      "a number that fits in 64 bits" },
    { "policy:\n  kind: !mine goodput\n", 2, "policy.kind", "no tag other than !!str" },
    { "policy:\n  [a]: b\n", 2, "policy", "scalar field names" },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.text);
    const YamlResult<ConfigurationFile> result = ParseConfigurationFile(testCase.text, "f.yaml");
    const YamlError* error = std::get_if<YamlError>(&result);
    ASSERT_NE(error, nullptr);
    EXPECT_EQ(error->File(), "f.yaml");
    EXPECT_EQ(error->Line(), testCase.line);
    EXPECT_EQ(error->Field(), testCase.field);
    EXPECT_EQ(error->Expected(), testCase.expected);
  }
}

// Guards against a policy that applies in part, or with values other than those in the file.
TEST(Yaml, PolicyEntriesHaveDefaultsAndAreChecked)
{
  const YamlResult<NodePolicy> read =
    ParseNodePolicy("regions:\n  - region: lagos\n    min_gain: 60\n  - region: kano\n", "p.yaml");
  ASSERT_TRUE(std::holds_alternative<NodePolicy>(read));
  EXPECT_EQ(
    std::get<NodePolicy>(read).Regions(),
    (std::vector<RegionPolicy>{
      RegionPolicy({ .region = "lagos", .minGain = std::chrono::milliseconds(60) }),
      RegionPolicy({ .region = "kano", .bytesWeight = 0.5, .otherRegionBytesWeight = 8 }) }));
  const std::pair<const char*, const char*> invalid[] = {
    { "regions:\n  - region: lagos\n  - region: lagos\n",
      "p.yaml:3: regions[1].region: expected each region at most once, found a duplicate" },
    { "regions:\n  - {region: lagos, min_gain: 600001}\n",
      "p.yaml:2: regions[0].min_gain: expected a value from 0 to 600000, found 600001" },
    { "regions:\n  - {region: lagos, mingain: 5}\n",
      "p.yaml:2: regions[0].mingain: expected no field of this name, found 5" },
  };
  for (const auto& [text, expected] : invalid) {
    const YamlResult<NodePolicy> result = ParseNodePolicy(text, "p.yaml");
    ASSERT_TRUE(std::holds_alternative<YamlError>(result)) << text;
    EXPECT_EQ(Describe(std::get<YamlError>(result)), expected);
  }
}

TEST(Yaml, ResolvesScalarsByTheCoreSchema)
{
  const YamlResult<ConfigurationFile> result =
    ParseConfigurationFile("organisations:\n"
                           "  - {name: '12', rate: 0x10, burst: 0o17}\n"
                           "  - {name: !!str 12, rate: +1.5e1, burst: 7.}\n"
                           "  - {name: yes, rate: 08, burst: .5e1}\n",
                           "f.yaml");
  ASSERT_TRUE(std::holds_alternative<ConfigurationFile>(result))
    << Describe(std::get<YamlError>(result));
  const std::vector<Organisation> expected = {
    Organisation({ .name = "12", .rate = 16, .burst = 15 }),
    Organisation({ .name = "12", .rate = 15, .burst = 7 }),
    Organisation({ .name = "yes", .rate = 8, .burst = 5 }),
  };
  EXPECT_EQ(std::get<ConfigurationFile>(result).Organisations(), expected);
}

TEST(Yaml, ErrorsDoNotQuoteSecrets)
{
  const YamlResult<NodeSettings> result =
    ParseNodeSettings("node: n1\nadmin_token: [hunter2]\n", "n.yaml");
  ASSERT_TRUE(std::holds_alternative<YamlError>(result));
  EXPECT_EQ(Describe(std::get<YamlError>(result)).find("hunter2"), std::string::npos);
}

class YamlFolder : public testing::Test
{
protected:
  YamlFolder() { std::filesystem::create_directories(this->path); }
  ~YamlFolder() override { std::filesystem::remove_all(this->path); }

  void Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(this->path / aName) << aText;
  }

  const std::filesystem::path path =
    std::filesystem::temp_directory_path() /
    ("jackdaw_yaml_" + std::to_string(std::chrono::steady_clock::now().time_since_epoch().count()));
};

TEST_F(YamlFolder, MergesFilesInTheOrderOfTheirNames)
{
  const std::string revoked(64, 'a');
  const std::string restored(64, 'b');
  this->Write(
    "10-base.yaml",
    "organisations: [{name: o, rate: 1, burst: 1}]\npolicy: {max_depth: 3}\nkeys:\n  - {hash: " +
      revoked + ", organisation: o}\n  - {hash: " + restored + ", organisation: o}\n");
  this->Write("20-revoked.yml", "revoked_keys: [" + revoked + ", " + restored + "]\n");
  this->Write(
    "30-later.yaml",
    "organisations: [{name: o, rate: 2, burst: 1}]\npolicy: {max_depth: 4}\nkeys:\n  - {hash: " +
      restored + ", organisation: o}\n");
  this->Write(".40-hidden.yaml", "policy: {max_depth: 9}\n");
  this->Write("50-note.txt", "not YAML: [");
  const YamlResult<std::vector<ConfigItem>> result = LoadConfigurationFolder(this->path.string());
  ASSERT_TRUE(std::holds_alternative<std::vector<ConfigItem>>(result))
    << Describe(std::get<YamlError>(result));
  const std::vector<ConfigItem> expected = {
    ConfigItem(
      { .path = "keys/" + restored, .body = KeyRecord({ .hash = restored, .organisation = "o" }) }),
    ConfigItem(
      { .path = "organisations/o", .body = Organisation({ .name = "o", .rate = 2, .burst = 1 }) }),
    ConfigItem({ .path = "policy", .body = Policy({ .maxDepth = 4 }) }),
  };
  EXPECT_EQ(std::get<std::vector<ConfigItem>>(result), expected);
}

TEST_F(YamlFolder, RejectsAFolderWithAnInvalidFile)
{
  struct Case
  {
    const char* name;
    const char* text;
    std::uint32_t line;
    const char* field;
    const char* expected;
  };
  const Case cases[] = {
    { "a.txt", "", 0, "", "at least one file *.yaml or *.yml" },
    { "a.yaml", "domains: 3\n", 1, "domains", "a list" },
    { "a.yaml",
      "revoked_keys:\n- abc\n",
      2,
      "revoked_keys[0]",
      "a key hash of 64 lower-case hexadecimal digits" },
    { "a.yaml",
      "organisations:\n- {name: o, rate: 1, burst: 1}\n- {name: o, rate: 1, burst: 1}\n",
      3,
      "organisations[1]",
      "each name at most once per file" },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.text);
    this->Write(testCase.name, testCase.text);
    const YamlResult<std::vector<ConfigItem>> result = LoadConfigurationFolder(this->path.string());
    const YamlError* error = std::get_if<YamlError>(&result);
    ASSERT_NE(error, nullptr);
    EXPECT_EQ(error->Line(), testCase.line);
    EXPECT_EQ(error->Field(), testCase.field);
    EXPECT_EQ(error->Expected(), testCase.expected);
  }
}

} // namespace
} // namespace jackdawwind::wire
