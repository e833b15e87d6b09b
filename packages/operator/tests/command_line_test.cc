// Guards against commands that run with misread or ignored arguments, and against exit statuses
// that do not match the outcome.
#include "operator/command_line.h"

#include <sstream>

#include <gtest/gtest.h>

#include "standins/log_service/log_service_thread.h"
#include "wire/crypto.h"
#include "wire/yaml.h"

namespace jackdawwind::control {
namespace {

const std::string kExamples = JACKDAW_EXAMPLES_DIR;

TEST(CommandLine, ParsesCommands)
{
  const std::chrono::milliseconds kDefault(10000);
  struct Case
  {
    std::vector<std::string> arguments;
    CommandLine expected;
  };
  const Case cases[] = {
    { { "check", "d" }, { CheckCommand{ "d" }, false } },
    { { "check", "--json", "d" }, { CheckCommand{ "d" }, true } },
    { { "apply", "d", "--log", "127.0.0.1:9", "--author", "a", "--timeout-ms", "5" },
      { ApplyCommand{ "d", { "127.0.0.1", 9 }, "a", std::chrono::milliseconds(5) }, false } },
    { { "status", "--node", "[::1]:65535", "--token", "t" },
      { StatusCommand{ { "::1", 65535 }, "t", kDefault }, false } },
    { { "drain", "--node", "127.0.0.1:1", "--token", "t" },
      { DrainCommand{ { "127.0.0.1", 1 }, "t", kDefault }, false } },
    { { "key", "--organisation", "o", "--json" }, { KeyCommand{ "o" }, true } },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testCase.arguments.front());
    EXPECT_EQ(ParseCommandLine(testCase.arguments), testCase.expected);
  }
}

TEST(CommandLine, RejectsInvalidArguments)
{
  const std::vector<std::string> cases[] = {
    {},
    { "aply", "d" },
    { "check" },
    { "check", "d", "e" },
    { "check", "d", "--token", "t" },
    { "apply", "d" },
    { "apply", "--log", "127.0.0.1:9" },
    { "apply", "d", "--log", "localhost:9" },
    { "apply", "d", "--log", "127.0.0.1" },
    { "apply", "d", "--log", "127.0.0.1:0" },
    { "apply", "d", "--log", "127.0.0.1:65536" },
    { "apply", "d", "--log", "127.0.0.1:9x" },
    { "apply", "d", "--log", "127.0.0.1:9", "--timeout-ms", "soon" },
    { "status", "--node", "127.0.0.1:9" },
    { "status", "--node", "127.0.0.1:9", "--token-file", "/nonexistent" },
    { "key" },
    { "key", "--organisation", "" },
  };
  for (const std::vector<std::string>& arguments : cases) {
    SCOPED_TRACE(testing::PrintToString(arguments));
    std::ostringstream out;
    std::ostringstream errors;
    EXPECT_EQ(RunCommand(ParseCommandLine(arguments), out, errors), ExitCode::kUsage);
    EXPECT_NE(errors.str(), "");
  }
}

TEST(CommandLine, ExitStatusMatchesOutcome)
{
  standins::LogServiceThread service;
  const std::string log = "127.0.0.1:" + std::to_string(service.Port());
  struct Case
  {
    std::vector<std::string> arguments;
    ExitCode expected;
    const char* output;
  };
  const Case cases[] = {
    { { "--help" }, ExitCode::kOk, "exit status" },
    { { "apply", "--help" }, ExitCode::kOk, "--log" },
    { { "check", kExamples + "/adeyemi" }, ExitCode::kOk, "valid: 18 items" },
    { { "check", kExamples + "/vestkyst" }, ExitCode::kOk, "valid: 18 items" },
    { { "check", kExamples },
      ExitCode::kInvalidConfiguration,
      "node.yaml:17: admin: expected no field of this name" },
    { { "check", "/nonexistent", "--json" }, ExitCode::kInvalidConfiguration, "yaml_error" },
    { { "apply", kExamples + "/adeyemi", "--log", log }, ExitCode::kOk, "accepted" },
    { { "apply", kExamples + "/adeyemi", "--log", log }, ExitCode::kOk, "nothing to change" },
    { { "apply", kExamples + "/vestkyst", "--log", log, "--json" },
      ExitCode::kOk,
      R"("type":"apply_accepted")" },
    { { "apply", kExamples + "/adeyemi", "--log", "127.0.0.1:1", "--timeout-ms", "1" },
      ExitCode::kUnreachable,
      "not applied" },
    { { "status", "--node", "127.0.0.1:1", "--token", "t" },
      ExitCode::kUnreachable,
      "cannot be reached" },
  };
  for (const Case& testCase : cases) {
    SCOPED_TRACE(testing::PrintToString(testCase.arguments));
    std::ostringstream out;
    std::ostringstream errors;
    EXPECT_EQ(RunCommand(ParseCommandLine(testCase.arguments), out, errors), testCase.expected);
    EXPECT_NE((out.str() + errors.str()).find(testCase.output), std::string::npos)
      << out.str() << errors.str();
  }
}

TEST(CommandLine, ExampleOfNodeSettingsLoads)
{
  const wire::YamlResult<NodeSettings> settings = wire::LoadNodeSettings(kExamples + "/node.yaml");
  ASSERT_TRUE(std::holds_alternative<NodeSettings>(settings))
    << wire::Describe(std::get<YamlError>(settings));
  EXPECT_EQ(std::get<NodeSettings>(settings).Node(), "ikeja-1");
}

TEST(CommandLine, KeyRecordMatchesPrintedKeyAndLoads)
{
  std::ostringstream out;
  EXPECT_EQ(RunCommand(ParseCommandLine({ "key", "--organisation", "no: 1" }), out, out),
            ExitCode::kOk);
  const std::string text = out.str();
  const std::size_t start = text.find(": ") + 2;
  const std::string key = text.substr(start, text.find('\n') - start);
  const wire::YamlResult<ConfigurationFile> file = wire::ParseConfigurationFile(text, "key");
  ASSERT_TRUE(std::holds_alternative<ConfigurationFile>(file));
  const std::vector<KeyRecord> expected = { KeyRecord(
    { .hash = wire::HashHex(key), .organisation = "no: 1" }) };
  EXPECT_EQ(std::get<ConfigurationFile>(file).Keys(), expected);
}

} // namespace
} // namespace jackdawwind::control
