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
// Long-poll time of a read. Kept short so that an unresponsive connection uses up little of the
// timeout.
constexpr milliseconds kResultReadWait{ 500 };

std::map<std::string, ItemBody>
IndexByPath(const std::vector<ConfigItem>& aItems)
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
  const std::map<std::string, ItemBody> current = IndexByPath(aState.ToSnapshot().Items());
  std::map<std::string, ItemBody> desired = IndexByPath(aItems);
  desired.try_emplace(PathOf(Policy()), Policy());
  ConfigChange::Fields change;
  for (const std::pair<const std::string, ItemBody>& entry : desired) {
    const auto found = current.find(entry.first);
    if (found == current.end() || found->second != entry.second) {
      change.puts.push_back(ConfigItem({ .path = entry.first, .body = entry.second }));
    }
  }
  for (const std::pair<const std::string, ItemBody>& entry : current) {
    if (!desired.contains(entry.first)) {
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
        return "the control stream retains neither its first record nor a configuration snapshot";
      }
      return std::nullopt;
    }
    if (!this->HasTimeLeft()) {
      return "cannot read the log service: " + std::get<LogReadError>(result).Reason();
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
  this->replay.AwaitRevision(change.Revision());
  if (std::holds_alternative<AppendRejected>(this->Append(change))) {
    return ApplyNotDone({ .reason = "the log service did not accept the append" });
  }
  return this->AwaitResult(change);
}

ApplyOutcome
ConfigApplier::AwaitResult(const ConfigChange& aChange)
{
  std::string reason = "the change was not read back from the log before the timeout";
  while (this->HasTimeLeft()) {
    const LogReadResult result = this->Read(kResultReadWait);
    if (const ChangeAccepted* accepted =
          std::get_if<ChangeAccepted>(&this->replay.AwaitedResult())) {
      return ApplyAccepted({ .revision = accepted->revision,
                             .offset = this->replay.State()->Offset(),
                             .puts = static_cast<std::uint32_t>(aChange.Puts().size()),
                             .removes = static_cast<std::uint32_t>(aChange.Removes().size()) });
    }
    if (const ChangeRejected* rejected =
          std::get_if<ChangeRejected>(&this->replay.AwaitedResult())) {
      if (rejected->code == ResultCode::kConfigConflict) {
        return ApplyConflict({ .revision = this->replay.State()->Revision() });
      }
      return ApplyRejected({ .reason = rejected->reason });
    }
    if (const LogReadError* error = std::get_if<LogReadError>(&result)) {
      reason = "cannot read the log service: " + error->Reason();
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
