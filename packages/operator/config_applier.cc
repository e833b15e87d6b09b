#include "operator/config_applier.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

#include "wire/crypto.h"

namespace jackdawwind::control {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRetryDelay{ 200 };
// Short, so that a connection that has gone silent costs little of the time for the verdict.
constexpr milliseconds kVerdictWait{ 500 };

std::map<std::string, ItemBody>
ByPath(const std::vector<ConfigItem>& aItems)
{
  std::map<std::string, ItemBody> bodies;
  for (const ConfigItem& item : aItems) {
    bodies.insert_or_assign(item.Path(), item.Body());
  }
  return bodies;
}

LogServiceSettings
LimitTimeout(const LogServiceSettings& aSettings, milliseconds aTimeout)
{
  LogServiceSettings::Fields fields = aSettings.ToFields();
  fields.timeoutMs = std::min(fields.timeoutMs, aTimeout);
  return LogServiceSettings(std::move(fields));
}

} // namespace

std::optional<ConfigChange>
DiffItems(const ControlState& aState, const std::vector<ConfigItem>& aItems)
{
  const std::map<std::string, ItemBody> current = ByPath(aState.ToSnapshot().Items());
  std::map<std::string, ItemBody> wanted = ByPath(aItems);
  wanted.try_emplace(PathOf(Policy()), Policy());
  ConfigChange::Fields change;
  for (const std::pair<const std::string, ItemBody>& entry : wanted) {
    const auto found = current.find(entry.first);
    if (found == current.end() || found->second != entry.second) {
      change.puts.push_back(ConfigItem({ .path = entry.first, .body = entry.second }));
    }
  }
  for (const std::pair<const std::string, ItemBody>& entry : current) {
    if (!wanted.contains(entry.first)) {
      change.removes.push_back(entry.first);
    }
  }
  if (change.puts.empty() && change.removes.empty()) {
    return std::nullopt;
  }
  change.basedOn = aState.Revision();
  return ConfigChange(std::move(change));
}

ConfigApplier::ConfigApplier(Options aOptions)
  : options(std::move(aOptions))
  , deadline(Clock::now() + this->options.timeout)
  , client(this->context, LimitTimeout(this->options.log, this->options.timeout))
{
}

ApplyOutcome
ConfigApplier::Apply(const std::vector<ConfigItem>& aItems)
{
  if (const std::optional<std::string> failure = this->ReadToEnd()) {
    return ApplyNotDone({ .reason = *failure });
  }
  return this->AppendDifference(aItems);
}

std::optional<std::string>
ConfigApplier::ReadToEnd()
{
  for (;;) {
    const LogReadResult result = this->Read(milliseconds(0));
    if (const LogRead* read = std::get_if<LogRead>(&result)) {
      if (this->replay.Next() < read->End()) {
        continue;
      }
      if (this->replay.State() == nullptr) {
        return "the log retains neither the first record nor a snapshot of the configuration";
      }
      return std::nullopt;
    }
    if (!this->TimeLeft()) {
      return "the log service cannot be read: " + std::get<LogReadError>(result).Reason();
    }
    this->Sleep(kRetryDelay);
  }
}

ApplyOutcome
ConfigApplier::AppendDifference(const std::vector<ConfigItem>& aItems)
{
  const std::optional<ConfigChange> difference = DiffItems(*this->replay.State(), aItems);
  if (!difference) {
    return ApplyUnchanged({ .revision = this->replay.State()->Revision() });
  }
  ConfigChange::Fields fields = difference->ToFields();
  fields.revision = wire::RandomId();
  fields.author = this->options.author;
  const ConfigChange change(std::move(fields));
  this->replay.Watch(change.Revision());
  if (std::holds_alternative<AppendRejected>(this->Append(change))) {
    return ApplyNotDone({ .reason = "the log service did not take the change" });
  }
  return this->AwaitVerdict(change);
}

ApplyOutcome
ConfigApplier::AwaitVerdict(const ConfigChange& aChange)
{
  std::string reason = "the change did not appear in the log in time";
  while (this->TimeLeft()) {
    const LogReadResult result = this->Read(kVerdictWait);
    if (const ChangeAccepted* accepted = std::get_if<ChangeAccepted>(&this->replay.Verdict())) {
      return ApplyAccepted({ .revision = accepted->revision,
                             .offset = this->replay.State()->Offset(),
                             .puts = static_cast<std::uint32_t>(aChange.Puts().size()),
                             .removes = static_cast<std::uint32_t>(aChange.Removes().size()) });
    }
    if (const ChangeRejected* rejected = std::get_if<ChangeRejected>(&this->replay.Verdict())) {
      if (rejected->code == ResultCode::kConfigConflict) {
        return ApplyConflict({ .revision = this->replay.State()->Revision() });
      }
      return ApplyRejected({ .reason = rejected->reason });
    }
    if (const LogReadError* error = std::get_if<LogReadError>(&result)) {
      reason = "the log service cannot be read: " + error->Reason();
      this->Sleep(kRetryDelay);
    }
  }
  return ApplyUnknown({ .revision = aChange.Revision(), .reason = reason });
}

LogReadResult
ConfigApplier::Read(milliseconds aWait)
{
  LogReadResult result;
  this->client.Read({ .stream = kControlStream, .from = this->replay.Next(), .wait = aWait },
                    [&result](LogReadResult aResult) { result = std::move(aResult); });
  this->context.restart();
  this->context.run();
  if (const LogRead* read = std::get_if<LogRead>(&result)) {
    this->replay.Receive(*read);
  }
  return result;
}

AppendOutcome
ConfigApplier::Append(const ConfigChange& aChange)
{
  AppendOutcome outcome = AppendUnknown();
  this->client.Append(
    kControlStream, { aChange }, [&outcome](const AppendOutcome& aOutcome) { outcome = aOutcome; });
  this->context.restart();
  this->context.run();
  return outcome;
}

void
ConfigApplier::Sleep(milliseconds aDuration)
{
  logservice::ClockTimer timer(this->context);
  timer.expires_after(aDuration);
  timer.async_wait([](const boost::system::error_code& /*aError*/) {});
  this->context.restart();
  this->context.run();
}

} // namespace jackdawwind::control
