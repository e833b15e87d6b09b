// Runs the commands of jackdawctl. Each result is a variant; a visitor prints it and maps it to an
// exit status.
#include <cstddef>
#include <utility>

#include "decisions/config/control_state.h"
#include "operator/command_line.h"
#include "operator/config_applier.h"
#include "operator/node_admin.h"
#include "wire/codec.h"
#include "wire/crypto.h"
#include "wire/generated/operator_codec.h"
#include "wire/generated/platform_codec.h"
#include "wire/yaml.h"

namespace jackdawwind::control {

namespace {

/// Prints a result as text, with errors on the second stream, and returns its exit status.
struct TextPrinter
{
  std::ostream& out;
  std::ostream& errors;

  ExitCode operator()(const ConfigurationValid& aResult) const
  {
    this->out << "valid: " << aResult.Items() << " items\n";
    return ExitCode::kOk;
  }
  ExitCode operator()(const ConfigurationInvalid& aResult) const
  {
    return this->Fail(aResult.Problem(), ExitCode::kInvalidConfiguration);
  }
  ExitCode operator()(const YamlError& aResult) const
  {
    return this->Fail(wire::Describe(aResult), ExitCode::kInvalidConfiguration);
  }
  ExitCode operator()(const ApplyAccepted& aResult) const
  {
    this->out << "accepted: revision " << aResult.Revision() << ", " << aResult.Puts()
              << " items put, " << aResult.Removes() << " removed\n";
    return ExitCode::kOk;
  }
  ExitCode operator()(const ApplyUnchanged& aResult) const
  {
    this->out << "nothing to change: revision " << aResult.Revision() << " is in force\n";
    return ExitCode::kOk;
  }
  ExitCode operator()(const ApplyConflict& aResult) const
  {
    return this->Fail("conflict: revision " + aResult.Revision() +
                        " was applied first; nothing was changed, run the command again",
                      ExitCode::kConflict);
  }
  ExitCode operator()(const ApplyRejected& aResult) const
  {
    return this->Fail("rejected: " + aResult.Reason(), ExitCode::kRefused);
  }
  ExitCode operator()(const ApplyNotDone& aResult) const
  {
    return this->Fail("not applied: " + aResult.Reason(), ExitCode::kUnreachable);
  }
  ExitCode operator()(const ApplyUnknown& aResult) const
  {
    return this->Fail("unknown whether revision " + aResult.Revision() + " was applied: " +
                        aResult.Reason() + "; it is safe to run the command again",
                      ExitCode::kUnreachable);
  }
  ExitCode operator()(const NodeStatus& aResult) const
  {
    this->out << "node " << aResult.Node() << " in " << aResult.GetDomain() << " ("
              << aResult.Region() << "): " << aResult.GetPhase() << "\n"
              << "revision " << aResult.Revision() << " at offset " << aResult.ConfigOffset()
              << ", last confirmed " << aResult.NewsAge().count() << " ms ago, log "
              << (aResult.LogReachable() ? "reachable" : "not reachable") << "\n"
              << "steward " << (aResult.Steward().empty() ? "none" : aResult.Steward())
              << (aResult.Elected() ? " (this node)" : "") << "\n"
              << "target: limit " << aResult.Limit().Limit() << ", running "
              << aResult.Limit().Running() << ", queued " << aResult.Limit().Queued()
              << ", admission level " << aResult.Limit().Level() << "\n"
              << "calls running: " << aResult.RunningCalls() << "\n";
    for (const TokenStatus& tokens : aResult.Tokens()) {
      this->out << "organisation " << tokens.GetOrganisation() << ": " << tokens.Tokens()
                << " tokens, " << tokens.Refused() << " calls refused\n";
    }
    for (const Member& member : aResult.Members()) {
      this->out << "member " << member.Address().Node() << " in " << member.GetDomain() << ": "
                << member.State() << ", "
                << (member.GetService().empty()
                      ? "no target"
                      : member.GetService() + " " + std::string(ToText(member.GetTargetState())))
                << "\n";
    }
    return ExitCode::kOk;
  }
  ExitCode operator()(const DrainAccepted& /*aResult*/) const
  {
    this->out << "the node is draining\n";
    return ExitCode::kOk;
  }
  ExitCode operator()(const NodeRefused& aResult) const
  {
    return this->Fail("the node answered HTTP status " + std::to_string(aResult.Status()),
                      ExitCode::kRefused);
  }
  ExitCode operator()(const NodeUnreachable& aResult) const
  {
    return this->Fail("the node cannot be reached: " + aResult.Reason(), ExitCode::kUnreachable);
  }
  ExitCode operator()(const NewKey& aResult) const
  {
    // Quoted, since YAML would parse a hash of digits with a single "e" as a number.
    this->out << "# Key (not shown again): " << aResult.Key() << "\n"
              << "keys:\n  - hash: \"" << aResult.GetRecord().Hash() << "\"\n    organisation: "
              << wire::ToJsonText(Json::Value(aResult.GetRecord().GetOrganisation())) << "\n";
    return ExitCode::kOk;
  }

private:
  ExitCode Fail(const std::string& aMessage, ExitCode aCode) const
  {
    this->errors << "jackdawctl: " << aMessage << "\n";
    return aCode;
  }
};

/// Prints outcomes as text or JSON and returns their exit status.
class Reporter
{
public:
  Reporter(bool aJson, std::ostream& aOut, std::ostream& aErrors)
    : json(aJson)
    , out(aOut)
    , errors(aErrors)
  {
  }

  template<typename Outcome>
  ExitCode Report(const Outcome& aOutcome) const
  {
    if (!this->json) {
      return std::visit(TextPrinter{ this->out, this->errors }, aOutcome);
    }
    this->out << wire::EncodeText(aOutcome) << "\n";
    std::ostream discard(nullptr);
    return std::visit(TextPrinter{ discard, discard }, aOutcome);
  }

private:
  bool json;
  std::ostream& out;
  std::ostream& errors;
};

using LoadedFolder = std::variant<std::vector<ConfigItem>, YamlError, ConfigurationInvalid>;

LoadedFolder
LoadFolder(const std::string& aFolder)
{
  wire::YamlResult<std::vector<ConfigItem>> items = wire::LoadConfigurationFolder(aFolder);
  if (const YamlError* error = std::get_if<YamlError>(&items)) {
    return *error;
  }
  std::string problem = ValidateItems(std::get<std::vector<ConfigItem>>(items));
  if (!problem.empty()) {
    return ConfigurationInvalid({ .problem = std::move(problem) });
  }
  return std::get<std::vector<ConfigItem>>(std::move(items));
}

CheckOutcome
ToCheckOutcome(const LoadedFolder& aFolder)
{
  struct Visitor
  {
    CheckOutcome operator()(const std::vector<ConfigItem>& aItems) const
    {
      return ConfigurationValid({ .items = static_cast<std::uint32_t>(aItems.size()) });
    }
    CheckOutcome operator()(const YamlError& aError) const { return aError; }
    CheckOutcome operator()(const ConfigurationInvalid& aInvalid) const { return aInvalid; }
  };
  return std::visit(Visitor{}, aFolder);
}

/// Visitor that runs each kind of command.
struct CommandRunner
{
  const Reporter& reporter;
  std::ostream& out;
  std::ostream& errors;

  ExitCode operator()(const UsageError& aError) const
  {
    this->errors << "jackdawctl: " << aError.reason << "; see jackdawctl --help\n";
    return ExitCode::kUsage;
  }
  ExitCode operator()(const HelpCommand& aHelp) const
  {
    this->out << aHelp.text;
    return ExitCode::kOk;
  }
  ExitCode operator()(const CheckCommand& aCheck) const
  {
    return this->reporter.Report(ToCheckOutcome(LoadFolder(aCheck.folder)));
  }
  ExitCode operator()(const ApplyCommand& aApply) const
  {
    const LoadedFolder folder = LoadFolder(aApply.folder);
    const std::vector<ConfigItem>* items = std::get_if<std::vector<ConfigItem>>(&folder);
    if (items == nullptr) {
      return this->reporter.Report(ToCheckOutcome(folder));
    }
    ConfigApplier applier(
      { .log = LogServiceSettings({ .host = aApply.log.host, .port = aApply.log.port }),
        .author = aApply.author,
        .timeout = aApply.timeout });
    return this->reporter.Report(applier.Apply(*items));
  }
  ExitCode operator()(const StatusCommand& aStatus) const
  {
    const NodeAdmin admin({ aStatus.node.host, aStatus.node.port, aStatus.token, aStatus.timeout });
    return this->reporter.Report(admin.Status());
  }
  ExitCode operator()(const DrainCommand& aDrain) const
  {
    const NodeAdmin admin({ aDrain.node.host, aDrain.node.port, aDrain.token, aDrain.timeout });
    return this->reporter.Report(admin.Drain());
  }
  ExitCode operator()(const KeyCommand& aKey) const
  {
    const std::string key = wire::RandomKey();
    return this->reporter.Report(KeyOutcome(NewKey(
      { .key = key,
        .record = KeyRecord({ .hash = wire::HashHex(key), .organisation = aKey.organisation }) })));
  }
};

} // namespace

ExitCode
RunCommand(const CommandLine& aCommandLine, std::ostream& aOut, std::ostream& aErrors)
{
  const Reporter reporter(aCommandLine.json, aOut, aErrors);
  return std::visit(CommandRunner{ reporter, aOut, aErrors }, aCommandLine.command);
}

} // namespace jackdawwind::control
