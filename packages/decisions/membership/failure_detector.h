// Timers of failure detection: the direct probe in flight, suspicions, and indirect probes on
// behalf of other nodes.
//
//   std::uint64_t sequence = detector.BeginProbe("node-7", now);
//   detector.Acknowledge(sequence);             // an acknowledgement arrived
//   ProbeStatus status = detector.Check(now);   // at NextDue()
//
// Holds sequence numbers and deadlines only; Membership owns the member table and the messages.
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

/// No probe is in flight, or none of its deadlines has passed.
struct ProbePending
{};

/// The acknowledgement timeout has passed; other members should probe the subject. Reported once.
struct ProbeUnanswered
{
  std::string subject;
  std::uint64_t sequence = 0;
};

/// Neither the direct nor an indirect probe was acknowledged within the period.
struct ProbeFailed
{
  std::string subject;
};

using ProbeStatus = std::variant<ProbePending, ProbeUnanswered, ProbeFailed>;

/// Node that requested an indirect probe, and the sequence number of its direct probe.
struct IndirectProbeOrigin
{
  PeerAddress address;
  std::uint64_t sequence = 0;
};

class FailureDetector
{
public:
  /// aPeriod: time after which a probe fails; aAckTimeout: time after which a direct probe counts
  /// as unanswered.
  FailureDetector(Duration aPeriod, Duration aAckTimeout, Duration aSuspicionTimeout);

  /// Sequence number of a probe whose acknowledgement is not tracked.
  std::uint64_t NextSequence() { return ++this->lastSequence; }
  /// Starts the direct probe, replacing one in flight; returns its sequence number.
  std::uint64_t BeginProbe(const std::string& aSubject, Time aNow);
  /// Ends the direct probe if it has this sequence number.
  void Acknowledge(std::uint64_t aSequence);
  /// Whether a direct probe is in flight.
  bool IsProbing() const { return this->directProbe.has_value(); }
  /// Status of the direct probe; a failed probe is ended.
  ProbeStatus Check(Time aNow);

  /// Starts an indirect probe for another node; returns its sequence number at this node.
  std::uint64_t BeginIndirectProbe(const IndirectProbeOrigin& aOrigin, Time aNow);
  /// Ends an acknowledged indirect probe and returns its origin; none if it is not known.
  std::optional<IndirectProbeOrigin> EndIndirectProbe(std::uint64_t aSequence);

  /// Starts the suspicion timeout of a node unless it is already running.
  void Suspect(const std::string& aNode, Time aNow);
  void ClearSuspicion(const std::string& aNode) { this->suspicions.erase(aNode); }
  /// Removes and returns the nodes whose suspicion timeout has passed.
  std::vector<std::string> TakeExpired(Time aNow);

  /// Drops the direct probe and restarts all suspicion timeouts, after a pause of this process in
  /// which it could not read acknowledgements.
  void Restart(Time aNow);

  /// Earliest deadline; Time::max() when there is none.
  Time NextDue() const;

private:
  struct DirectProbe
  {
    std::string subject;
    std::uint64_t sequence = 0;
    Time startedAt{};
    bool indirectRequested = false;
  };
  struct IndirectProbe
  {
    IndirectProbeOrigin origin;
    Time startedAt{};
  };

  Duration period;
  Duration ackTimeout;
  Duration suspicionTimeout;
  std::uint64_t lastSequence = 0;
  std::optional<DirectProbe> directProbe;
  /// By sequence number at this node.
  std::map<std::uint64_t, IndirectProbe> indirectProbes;
  /// Deadline by suspect node.
  std::map<std::string, Time> suspicions;
};

} // namespace jackdawwind
