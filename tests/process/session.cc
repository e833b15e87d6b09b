#include "process/session.h"

#include <csignal>

#include "process/fleet.h"

namespace jackdawwind::tests {

namespace {

void
Show(std::ostream& aOut, const std::string& aStep, const HttpAnswer& aAnswer)
{
  aOut << aStep << ": HTTP " << aAnswer.status << ", result " << aAnswer.Result() << ", run "
       << aAnswer.Run() << '\n';
}

void
ShowExecutions(std::ostream& aOut, const Fleet& aFleet, const std::string& aTag)
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
  aOut << "log service, nodes a1 and a2 in ikeja, b1 and b2 in sharada, a target beside each\n"
       << "operator applies a folder of 4 files: accepted, " << fleet.Revisions().size()
       << " revision in force on all nodes\n";
  Show(aOut,
       "look-up at a2 with the key of north",
       fleet.Call("a2", Tagged("/hires/available", "look-up")));
  ShowExecutions(aOut, fleet, "look-up");
  Show(aOut, "look-up without a key", fleet.Call("a2", Tagged("/hires/available", "keyless"), ""));
  ShowExecutions(aOut, fleet, "keyless");
  Show(aOut, "open route without a key", fleet.Call("b1", Tagged("/hires/open", "open"), ""));
  Show(aOut, "booking at b1 with an idempotency key", fleet.Call("b1", Booking("booking", "k1")));
  // Until the outcome's record has been read a repeat learns only that the booking may have run.
  WaitFor([&fleet] { return fleet.Call("a1", Booking("booking", "k1")).Run() == "ran"; });
  Show(aOut, "the same booking again at a1", fleet.Call("a1", Booking("booking", "k1")));
  ShowExecutions(aOut, fleet, "booking");
  aOut << "a target saw a key: " << (fleet.AnyTargetSawAKey() ? "yes" : "no") << '\n';
  std::map<std::string, std::string> files = fleet.BaseConfiguration();
  files["50-revoked.yaml"] = "revoked_keys: [\"" + fleet.KeyHash("north") + "\"]\n";
  const ProgramResult applied = fleet.Apply(files);
  aOut << "operator revokes the key of north: exit status " << applied.status << '\n';
  WaitFor([&fleet] { return fleet.Call("b2", Tagged("/fuel/levels", "revoked")).status == 401; });
  Show(
    aOut, "look-up at b2 with the revoked key", fleet.Call("b2", Tagged("/fuel/levels", "late")));
  ShowExecutions(aOut, fleet, "late");
  fleet.NodeProcess("b1").Signal(SIGTERM);
  aOut << "b1 drains: exit status " << fleet.NodeProcess("b1").Wait() << '\n';
  Show(aOut,
       "look-up at b2 with the key of south",
       fleet.Call("b2", Tagged("/hires/available", "south"), "south"));
}

} // namespace jackdawwind::tests
