// Applies a configuration to the fleet by appending one change record to the control stream.
//
//   ConfigApplier applier({ .log = settings, .timeout = std::chrono::seconds(10) });
//   ApplyOutcome outcome = applier.Apply(items);
//
// Reads the control stream to its end, appends the difference to the desired configuration as one
// change based on the revision read, and reads on until the change is known to be accepted or
// rejected. Appends at most once per call. If the answer to the append is lost, the change is
// recognised in the stream by its random revision. Blocks the calling thread for approximately the
// timeout at most.
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

/// Change that turns the configuration aState into aItems; nothing when they are equal. Items
/// without a policy imply the default policy.
std::optional<ConfigChange> DiffItems(const ControlState& aState,
                                      const std::vector<ConfigItem>& aItems);

class ConfigApplier
{
public:
  struct Options
  {
    LogServiceSettings log;
    /// Recorded in the change.
    std::string author;
    /// Time limit of the whole operation, counted from construction.
    std::chrono::milliseconds timeout{};
  };

  explicit ConfigApplier(Options aOptions);

  /// Calls ReadToEnd and AppendDifference.
  ApplyOutcome Apply(const std::vector<ConfigItem>& aItems);

  /// Reads the control stream to its end and returns the reason if that fails. Public so that tests
  /// can append a concurrent change between reading and appending.
  std::optional<std::string> ReadToEnd();
  /// Appends the difference to the configuration that ReadToEnd found and waits for the result.
  ApplyOutcome AppendDifference(const std::vector<ConfigItem>& aItems);

private:
  ApplyOutcome AwaitResult(const ConfigChange& aChange);
  LogReadResult Read(std::chrono::milliseconds aWait);
  AppendOutcome Append(const ConfigChange& aChange);
  void Sleep(std::chrono::milliseconds aDuration);
  bool HasTimeLeft() const { return Clock::now() < this->deadline; }

  const Options options;
  const Time deadline;
  boost::asio::io_context context;
  logservice::LogClient client;
  ControlReplay replay;
};

} // namespace jackdawwind::control
