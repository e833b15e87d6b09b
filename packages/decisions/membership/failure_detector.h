// Timers of failure detection: the running probe, suspicions, and probes made for other nodes.
//
//   detector.Begin("node-7", now);              // probe sent
//   detector.Acknowledge(sequence);             // answered
//   ProbeVerdict verdict = detector.Check(now); // ask others, or failed
//
// Keeps times only; the member table and messages belong to Membership.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "util/clock.h"
#include "values/generated/peer.h"

namespace jackdawwind {

/// Nothing is due.
struct ProbePending
{};

/// The direct probe was not answered in time; others should probe the subject.
struct ProbeUnanswered
{
  std::string subject;
  std::uint64_t sequence = 0;
};

/// Neither the direct nor an indirect probe was answered.
struct ProbeFailed
{
  std::string subject;
};

using ProbeVerdict = std::variant<ProbePending, ProbeUnanswered, ProbeFailed>;

/// Node that asked for an indirect probe, and the number of its own probe.
struct RelayOrigin
{
  PeerAddress address;
  std::uint64_t sequence = 0;
};

class FailureDetector
{
public:
  /// aPeriod: a probe fails when it ends; aAckTimeout: others are asked after it.
  FailureDetector(Duration aPeriod, Duration aAckTimeout, Duration aSuspicionTimeout);

  /// Number of a probe that nothing waits for.
  std::uint64_t NextSequence() { return ++this->lastSequence; }
  /// Starts the one running probe; returns its number.
  std::uint64_t Begin(const std::string& aSubject, Time aNow);
  void Acknowledge(std::uint64_t aSequence);
  /// Whether a probe runs that was not acknowledged yet.
  bool Busy() const { return this->running.has_value(); }
  ProbeVerdict Check(Time aNow);

  /// Remembers an indirect probe; returns its number at this node.
  std::uint64_t BeginRelay(const RelayOrigin& aOrigin, Time aNow);
  /// Origin of an indirect probe that has been answered.
  std::optional<RelayOrigin> EndRelay(std::uint64_t aSequence);

  /// Starts the suspicion timeout, unless it is running.
  void Suspect(const std::string& aNode, Time aNow);
  void Clear(const std::string& aNode) { this->suspicions.erase(aNode); }
  /// Nodes whose suspicion timeout has passed.
  std::vector<std::string> TakeExpired(Time aNow);

  /// Starts all timeouts again: this process did not run, so that it could not read answers.
  void Restart(Time aNow);

  /// Next time something is due; Time::max() for none.
  Time NextDue() const;

private:
  struct Running
  {
    std::string subject;
    std::uint64_t sequence = 0;
    Time begun{};
    bool othersAsked = false;
  };
  struct Relay
  {
    RelayOrigin origin;
    Time begun{};
  };

  Duration period;
  Duration ackTimeout;
  Duration suspicionTimeout;
  std::uint64_t lastSequence = 0;
  std::optional<Running> running;
  std::map<std::uint64_t, Relay> relays;
  std::map<std::string, Time> suspicions;
};

} // namespace jackdawwind
