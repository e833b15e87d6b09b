// Brings a configuration into force by one change record in the control stream.
//
//   ConfigApplier applier({ .log = settings, .timeout = std::chrono::seconds(10) });
//   ApplyOutcome outcome = applier.Apply(items);
//
// Reads the control stream, appends the difference as one change based on the revision read, and
// reads on until the verdict on it is known. Appends at most once per call, also when the answer to
// the append is lost: the change is then found by its random revision. Blocks the calling thread
// for at most about the timeout.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "logservice/log_client.h"
#include "operator/control_replay.h"
#include "util/clock.h"
#include "values/generated/operator.h"
#include "values/generated/settings.h"

namespace jackdawwind::control {

/// Change that turns a configuration into another one; nothing when they are equal. A folder
/// without a policy stands for the default policy.
std::optional<ConfigChange> DiffItems(const ControlState& aState,
                                      const std::vector<ConfigItem>& aItems);

class ConfigApplier
{
public:
  struct Options
  {
    LogServiceSettings log;
    std::string author;
    /// Time for everything together.
    std::chrono::milliseconds timeout{};
  };

  explicit ConfigApplier(Options aOptions);

  ApplyOutcome Apply(const std::vector<ConfigItem>& aItems);

  /// Reads the control stream to its end; the reason when that fails. Apply calls it; it is public
  /// so that tests can let another change come between reading and appending.
  std::optional<std::string> ReadToEnd();
  /// Appends the difference to what ReadToEnd found and waits for the verdict.
  ApplyOutcome AppendDifference(const std::vector<ConfigItem>& aItems);

private:
  ApplyOutcome AwaitVerdict(const ConfigChange& aChange);
  LogReadResult Read(std::chrono::milliseconds aWait);
  AppendOutcome Append(const ConfigChange& aChange);
  void Sleep(std::chrono::milliseconds aDuration);
  bool TimeLeft() const { return Clock::now() < this->deadline; }

  const Options options;
  const Time deadline;
  boost::asio::io_context context;
  logservice::LogClient client;
  ControlReplay replay;
};

} // namespace jackdawwind::control
