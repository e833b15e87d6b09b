#include "process/session.h"

#include <csignal>

#include "process/fleet.h"

namespace jackdawwind::tests {

namespace {

void
PrintAnswer(std::ostream& aOut, const std::string& aStep, const HttpAnswer& aAnswer)
{
  aOut << aStep << ": HTTP " << aAnswer.status << ", result " << aAnswer.ResultCode() << ", run "
       << aAnswer.RunState() << '\n';
}

void
PrintExecutions(std::ostream& aOut, const Fleet& aFleet, const std::string& aTag)
{
  aOut << "  executed: hires/available " << aFleet.Executions("hires", "/available", aTag)
       << ", fuel/levels " << aFleet.Executions("fuel", "/levels", aTag) << ", fuel/book "
       << aFleet.Executions("fuel", "/book", aTag) << '\n';
}

} // namespace

void
RunSession(std::ostream& aOut)
{
  Fleet fleet;
  fleet.StartTwoDomains();
  aOut << "log service, nodes a1 and a2 in ikeja, b1 and b2 in sharada, a target for each node\n"
       << "operator applies a configuration folder of 4 files: accepted, "
       << fleet.Revisions().size() << " revision in force on all nodes\n";
  PrintAnswer(aOut,
              "look-up at a2 with the key of north",
              fleet.Call("a2", TaggedRequest("/hires/available", "look-up")));
  PrintExecutions(aOut, fleet, "look-up");
  PrintAnswer(aOut,
              "look-up without a key",
              fleet.Call("a2", TaggedRequest("/hires/available", "keyless"), ""));
  PrintExecutions(aOut, fleet, "keyless");
  PrintAnswer(
    aOut, "open route without a key", fleet.Call("b1", TaggedRequest("/hires/open", "open"), ""));
  PrintAnswer(aOut,
              "booking at b1 with an idempotency key",
              fleet.Call("b1", BookingRequest("booking", "k1")));
  // Until node a1 has read the record of the outcome, a repeat reports that the booking may have
  // run.
  WaitFor(
    [&fleet] { return fleet.Call("a1", BookingRequest("booking", "k1")).RunState() == "ran"; });
  PrintAnswer(
    aOut, "repeat of the booking at a1", fleet.Call("a1", BookingRequest("booking", "k1")));
  PrintExecutions(aOut, fleet, "booking");
  aOut << "a target received a key: " << (fleet.AnyTargetReceivedKey() ? "yes" : "no") << '\n';
  std::map<std::string, std::string> files = fleet.BaseConfiguration();
  files["50-revoked.yaml"] = "revoked_keys: [\"" + fleet.KeyHash("north") + "\"]\n";
  const ProgramResult applied = fleet.Apply(files);
  aOut << "operator revokes the key of north: exit status " << applied.status << '\n';
  WaitFor(
    [&fleet] { return fleet.Call("b2", TaggedRequest("/fuel/levels", "revoked")).status == 401; });
  PrintAnswer(aOut,
              "look-up at b2 with the revoked key",
              fleet.Call("b2", TaggedRequest("/fuel/levels", "late")));
  PrintExecutions(aOut, fleet, "late");
  fleet.NodeProcess("b1").Signal(SIGTERM);
  aOut << "b1 drains on SIGTERM: exit status " << fleet.NodeProcess("b1").Wait() << '\n';
  PrintAnswer(aOut,
              "look-up at b2 with the key of south",
              fleet.Call("b2", TaggedRequest("/hires/available", "south"), "south"));
}

} // namespace jackdawwind::tests
