// Compares the shedding policies with a target without admission control, in simulated time.
//
//   overload_experiment            prints Markdown tables; takes no arguments
//
// Clients of eight organisations call one target; a request that is refused or times out is retried
// up to three times. One organisation sends 40% of all requests. Every variant uses the same seeds
// and therefore the same arrivals. The simulation runs on one thread: the figures depend only on
// the seeds, not on the machine.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "decisions/overload/admission_controller.h"
#include "util/random.h"

namespace jackdawwind {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Slots and connections of the service "fuel"; without a limit, callers open all connections.
constexpr std::uint32_t kSlots = 25;
constexpr std::uint32_t kConnections = 240;
// The service time is a fixed part plus an exponentially distributed part with the second mean.
constexpr Duration kFixedServiceTime = milliseconds(5);
constexpr Duration kVariableServiceTime = milliseconds(15);
constexpr double kCapacity = kSlots / 0.020; // calls per second with all slots busy
/// With more calls running than slots, the service time is multiplied by (running / slots) to this
/// power, so throughput falls.
constexpr double kDegradation = 1.3;

constexpr Duration kCallTimeout = milliseconds(500);
constexpr Duration kBackoff = milliseconds(50);
constexpr std::uint32_t kMaxAttempts = 4;
/// Upper bound of the time that a request takes with all its attempts.
constexpr Duration kMaxRequestTime = kMaxAttempts * (kCallTimeout + 2 * kBackoff);

constexpr std::size_t kOrganisations = 8;
constexpr double kLargestShare = 0.4;
/// Shares of the requests by importance, in the order of the enumerators.
constexpr std::array<double, 4> kImportanceShares = { 0.1, 0.2, 0.5, 0.2 };

constexpr int kSeeds = 5;
constexpr Duration kBinWidth = milliseconds(200);
constexpr double kRecoveredFraction = 0.95;
constexpr std::size_t kRecoveredBins = 5;

/// No admission control: starts calls in order of arrival, with at most one call per connection.
class FifoDispatcher
{
public:
  explicit FifoDispatcher(std::uint32_t aConnections)
    : connections(aConnections)
  {
  }

  AdmissionVerdicts Offer(const PendingCall& aCall, Time aNow)
  {
    this->queue.push_back(aCall);
    return this->StartNext(aNow);
  }
  AdmissionVerdicts Finish(std::uint64_t /*aExchange*/,
                           const TargetOutcome& /*aOutcome*/,
                           Time aNow)
  {
    --this->running;
    return this->StartNext(aNow);
  }
  AdmissionVerdicts Poll(Time /*aNow*/) { return {}; }
  Time NextWake() const { return Time::max(); }

private:
  AdmissionVerdicts StartNext(Time aNow)
  {
    AdmissionVerdicts verdicts;
    while (this->running < this->connections && !this->queue.empty()) {
      const PendingCall& call = this->queue.front();
      verdicts.push_back(StartCall{ .exchange = call.exchange, .queued = aNow - call.arrived });
      this->queue.pop_front();
      ++this->running;
    }
    return verdicts;
  }

  std::uint32_t connections;
  std::uint32_t running = 0;
  std::deque<PendingCall> queue;
};

using Dispatcher = std::variant<FifoDispatcher, AdmissionController>;

enum class Variant
{
  kOff,
  /// No admission control, but callers open only as many connections as the target has slots.
  kOffSlots,
  kGoodput,
  kFairness,
};

constexpr std::array<std::pair<Variant, const char*>, 4> kVariants = { {
  { Variant::kOff, "off" },
  { Variant::kOffSlots, "off, connections = slots" },
  { Variant::kGoodput, "goodput" },
  { Variant::kFairness, "fairness" },
} };

bool
IsOff(Variant aVariant)
{
  return aVariant == Variant::kOff || aVariant == Variant::kOffSlots;
}

void
SetUpDispatcher(Dispatcher& aDispatcher, Variant aVariant)
{
  if (IsOff(aVariant)) {
    aDispatcher.emplace<FifoDispatcher>(aVariant == Variant::kOff ? kConnections : kSlots);
    return;
  }
  AdmissionController& controller = aDispatcher.emplace<AdmissionController>();
  const PolicyKind kind =
    aVariant == Variant::kFairness ? PolicyKind::kFairness : PolicyKind::kGoodput;
  controller.Configure(Policy({ .kind = kind }), kSlots, {});
  controller.SetTargetState(TargetState::kStarting, Time{});
  controller.SetTargetState(TargetState::kReady, Time{});
}

/// Target with a fixed number of slots that slows down when more calls run.
class FakeTarget
{
public:
  explicit FakeTarget(std::uint64_t aSeed)
    : random(aSeed)
  {
  }

  /// Begins a call and returns its service time, which is multiplied by aSlowdown.
  Duration Begin(double aSlowdown)
  {
    ++this->running;
    const double overcommitment = std::max(1.0, static_cast<double>(this->running) / kSlots);
    const double variable = -std::log(1 - this->random.Fraction());
    return std::chrono::duration_cast<Duration>(
      (kFixedServiceTime + kVariableServiceTime * variable) *
      (std::pow(overcommitment, kDegradation) * aSlowdown));
  }
  void End() { --this->running; }

private:
  Random random;
  std::uint32_t running = 0;
};

/// Offered load as a fraction of the capacity, and factor of the target's service time, over time.
struct Scenario
{
  double load = 1;
  double disturbedLoad = 1;
  double disturbedSlowdown = 1;
  Duration disturbedFrom{};
  Duration disturbedTo{};
  /// Measurement window: only requests that arrive in it are counted.
  Duration from{};
  Duration to{};

  bool Disturbed(Time aNow) const
  {
    const Duration at = aNow.time_since_epoch();
    return at >= this->disturbedFrom && at < this->disturbedTo;
  }
  double LoadAt(Time aNow) const
  {
    return this->Disturbed(aNow) ? this->disturbedLoad : this->load;
  }
  double SlowdownAt(Time aNow) const { return this->Disturbed(aNow) ? this->disturbedSlowdown : 1; }
};

double
ShareOf(std::size_t aOrganisation)
{
  return aOrganisation == 0 ? kLargestShare : (1 - kLargestShare) / (kOrganisations - 1);
}

struct Request
{
  std::size_t organisation = 0;
  Importance importance = Importance::kNormal;
  std::uint32_t priority = 0;
  Time arrived{};
  std::uint32_t attempts = 0;
  bool answered = false;
};

struct Attempt
{
  std::size_t request = 0;
  Time deadline{};
  /// Answered, refused or timed out: the client no longer waits for it.
  bool ended = false;
};

/// One run of clients, dispatcher and target.
class Simulation
{
public:
  Simulation(Variant aVariant, const Scenario& aScenario, std::uint64_t aSeed)
    : scenario(aScenario)
    , cancelsAtDeadline(!IsOff(aVariant))
    , arrivalRandom(aSeed)
    , jitterRandom(aSeed + 1)
    , target(aSeed + 2)
  {
    SetUpDispatcher(this->dispatcher, aVariant);
  }

  /// Returns all requests with their results, in order of arrival.
  std::vector<Request> Run()
  {
    for (std::size_t organisation = 0; organisation < kOrganisations; ++organisation) {
      this->ScheduleArrival(organisation);
    }
    const Time end = Time{} + this->scenario.to + kMaxRequestTime;
    while (!this->schedule.empty() && this->schedule.top().at < end) {
      const ScheduledAction next = this->schedule.top();
      this->schedule.pop();
      this->now = next.at;
      next.action();
    }
    return std::move(this->requests);
  }

private:
  struct ScheduledAction
  {
    Time at{};
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const ScheduledAction& aOther) const
    {
      return std::pair(this->at, this->order) > std::pair(aOther.at, aOther.order);
    }
  };

  void Schedule(Time aAt, std::function<void()> aAction)
  {
    this->schedule.push({ .at = aAt, .order = ++this->lastOrder, .action = std::move(aAction) });
  }

  void ScheduleArrival(std::size_t aOrganisation)
  {
    const double rate = kCapacity * ShareOf(aOrganisation) * this->scenario.LoadAt(this->now);
    const std::chrono::duration<double> gap(-std::log(1 - this->arrivalRandom.Fraction()) / rate);
    const Time at = this->now + std::chrono::duration_cast<Duration>(gap);
    // Arrivals continue after the window; otherwise its last requests would find an idle target.
    if (at.time_since_epoch() < this->scenario.to + kMaxRequestTime) {
      this->Schedule(at, [this, aOrganisation] { this->Arrive(aOrganisation); });
    }
  }

  void Arrive(std::size_t aOrganisation)
  {
    Request request{ .organisation = aOrganisation,
                     .priority = static_cast<std::uint32_t>(this->arrivalRandom.Below(256)),
                     .arrived = this->now };
    double draw = this->arrivalRandom.Fraction();
    std::size_t importance = 0;
    while (importance + 1 < kImportanceShares.size() && draw >= kImportanceShares[importance]) {
      draw -= kImportanceShares[importance];
      ++importance;
    }
    request.importance = static_cast<Importance>(importance);
    this->requests.push_back(request);
    this->Send(this->requests.size() - 1);
    this->ScheduleArrival(aOrganisation);
  }

  void Send(std::size_t aRequest)
  {
    Request& request = this->requests[aRequest];
    ++request.attempts;
    const std::uint64_t exchange = this->attempts.size();
    const Time deadline = this->now + kCallTimeout;
    this->attempts.push_back({ .request = aRequest, .deadline = deadline });
    this->Schedule(deadline, [this, exchange] { this->FailAttempt(exchange); });
    const PendingCall call{ .exchange = exchange,
                            .organisation = "organisation" + std::to_string(request.organisation),
                            .importance = request.importance,
                            .priority = request.priority,
                            .arrived = this->now,
                            .deadline = deadline };
    this->Apply(std::visit([&](auto& aDispatcher) { return aDispatcher.Offer(call, this->now); },
                           this->dispatcher));
  }

  /// Ends an attempt that was refused or timed out, and schedules a retry if any is left.
  void FailAttempt(std::uint64_t aExchange)
  {
    Attempt& attempt = this->attempts[aExchange];
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    const std::size_t index = attempt.request;
    if (this->requests[index].attempts < kMaxAttempts) {
      const Duration jitter = Duration(this->jitterRandom.Below(kBackoff.count()));
      this->Schedule(this->now + kBackoff + jitter, [this, index] { this->Send(index); });
    }
  }

  void Apply(const AdmissionVerdicts& aVerdicts)
  {
    for (const AdmissionVerdict& verdict : aVerdicts) {
      std::visit([this](const auto& aKind) { this->ApplyVerdict(aKind); }, verdict);
    }
    const Time wake =
      std::visit([](const auto& aDispatcher) { return aDispatcher.NextWake(); }, this->dispatcher);
    if (wake < this->nextWake) {
      this->nextWake = wake;
      this->Schedule(wake, [this] { this->Wake(); });
    }
  }

  void ApplyVerdict(const RejectCall& aVerdict) { this->FailAttempt(aVerdict.exchange); }

  void ApplyVerdict(const StartCall& aVerdict)
  {
    const std::uint64_t exchange = aVerdict.exchange;
    const Time ends = this->now + this->target.Begin(this->scenario.SlowdownAt(this->now));
    const Time deadline = this->attempts[exchange].deadline;
    const bool cancelled = this->cancelsAtDeadline && ends > deadline;
    this->Schedule(cancelled ? deadline : ends,
                   [this, exchange, cancelled] { this->End(exchange, cancelled); });
  }

  void End(std::uint64_t aExchange, bool aCancelled)
  {
    this->target.End();
    Attempt& attempt = this->attempts[aExchange];
    if (!aCancelled && !attempt.ended) {
      attempt.ended = true;
      this->requests[attempt.request].answered = true;
    }
    const TargetOutcome outcome =
      aCancelled ? TargetOutcome(TimedOut()) : TargetOutcome(TargetAnswered({ .status = 200 }));
    this->Apply(std::visit(
      [&](auto& aDispatcher) { return aDispatcher.Finish(aExchange, outcome, this->now); },
      this->dispatcher));
  }

  void Wake()
  {
    if (this->now == this->nextWake) {
      this->nextWake = Time::max();
      this->Apply(std::visit([this](auto& aDispatcher) { return aDispatcher.Poll(this->now); },
                             this->dispatcher));
    }
  }

  Scenario scenario;
  bool cancelsAtDeadline;
  Random arrivalRandom;
  Random jitterRandom;
  FakeTarget target;
  Dispatcher dispatcher = FifoDispatcher(kSlots);
  Time now{};
  Time nextWake = Time::max();
  std::uint64_t lastOrder = 0;
  std::priority_queue<ScheduledAction> schedule;
  std::vector<Request> requests;
  std::vector<Attempt> attempts;
};

struct Figures
{
  /// Answered requests as a fraction of the capacity.
  double goodput = 0;
  /// Fraction of the critical requests that were answered.
  double critical = 0;
  /// Lowest ratio of answered requests to the fair share among the organisations.
  double worst = 0;
};

/// Figures of the requests that arrived in the scenario's window.
Figures
Measure(const std::vector<Request>& aRequests, const Scenario& aScenario)
{
  double answered = 0;
  double critical = 0;
  double criticalAnswered = 0;
  std::array<double, kOrganisations> sent{};
  std::array<double, kOrganisations> served{};
  for (const Request& request : aRequests) {
    const Duration arrived = request.arrived.time_since_epoch();
    if (arrived < aScenario.from || arrived >= aScenario.to) {
      continue;
    }
    const double success = request.answered ? 1 : 0;
    answered += success;
    sent[request.organisation] += 1;
    served[request.organisation] += success;
    if (request.importance == Importance::kCritical) {
      critical += 1;
      criticalAnswered += success;
    }
  }
  const double capacity =
    kCapacity * std::chrono::duration<double>(aScenario.to - aScenario.from).count();
  double worst = 1;
  for (std::size_t organisation = 0; organisation < kOrganisations; ++organisation) {
    const double fairShare = std::min(sent[organisation], capacity / kOrganisations);
    worst = std::min(worst, served[organisation] / fairShare);
  }
  return { .goodput = answered / capacity,
           .critical = criticalAnswered / critical,
           .worst = worst };
}

/// Seconds from the end of the disturbance until requests are again answered at the first attempt;
/// infinite if this is not reached.
double
RecoveryTime(const std::vector<Request>& aRequests, const Scenario& aScenario)
{
  const std::size_t bins =
    static_cast<std::size_t>((aScenario.to - aScenario.disturbedTo) / kBinWidth);
  std::vector<double> sent(bins);
  std::vector<double> firstAttemptAnswers(bins);
  for (const Request& request : aRequests) {
    const Duration since = request.arrived.time_since_epoch() - aScenario.disturbedTo;
    if (since >= Duration::zero() && since < kBinWidth * bins) {
      const std::size_t bin = static_cast<std::size_t>(since / kBinWidth);
      sent[bin] += 1;
      firstAttemptAnswers[bin] += request.answered && request.attempts == 1 ? 1 : 0;
    }
  }
  std::size_t consecutive = 0;
  for (std::size_t bin = 0; bin < bins; ++bin) {
    consecutive = firstAttemptAnswers[bin] >= kRecoveredFraction * sent[bin] ? consecutive + 1 : 0;
    if (consecutive == kRecoveredBins) {
      return static_cast<double>(bin + 1 - kRecoveredBins) *
             std::chrono::duration<double>(kBinWidth).count();
    }
  }
  return HUGE_VAL;
}

double
Median(std::vector<double> aValues)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues[aValues.size() / 2];
}

void
PrintLoads()
{
  std::printf("| load | policy | goodput / capacity | critical requests answered | "
              "worst-served organisation |\n| --- | --- | --- | --- | --- |\n");
  for (const double load : { 0.7, 1.0, 2.0, 4.0 }) {
    const Scenario scenario{ .load = load, .from = seconds(2), .to = seconds(10) };
    for (const auto& [variant, name] : kVariants) {
      std::vector<double> goodput;
      std::vector<double> critical;
      std::vector<double> worst;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Figures figures = Measure(Simulation(variant, scenario, seed * 100).Run(), scenario);
        goodput.push_back(figures.goodput);
        critical.push_back(figures.critical);
        worst.push_back(figures.worst);
      }
      std::printf("| %.2gx | %s | %.2f | %.3f | %.2f |\n",
                  load,
                  name,
                  Median(goodput),
                  Median(critical),
                  Median(worst));
    }
  }
}

/// Median recovery time formatted for the table.
std::string
RecoveryText(const std::vector<double>& aTimes)
{
  const double median = Median(aTimes);
  if (median == HUGE_VAL) {
    return "not within 20 s";
  }
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%.1f s", median);
  return text.data();
}

void
PrintRecoveries()
{
  const Scenario surge{ .load = 0.8,
                        .disturbedLoad = 4,
                        .disturbedFrom = seconds(4),
                        .disturbedTo = seconds(7),
                        .to = seconds(27) };
  Scenario slowdown = surge;
  slowdown.disturbedLoad = surge.load;
  slowdown.disturbedSlowdown = 4;
  const std::array<std::pair<const char*, Scenario>, 2> scenarios = { {
    { "surge: 4x capacity for 3 s", surge },
    { "slow target: 4x service time for 3 s", slowdown },
  } };
  std::printf(
    "\n| disturbance | policy | goodput / capacity during it | critical requests answered "
    "during it | recovery time |\n| --- | --- | --- | --- | --- |\n");
  for (const auto& [disturbance, scenario] : scenarios) {
    Scenario during = scenario;
    during.from = scenario.disturbedFrom;
    during.to = scenario.disturbedTo;
    for (const auto& [variant, name] : kVariants) {
      std::vector<double> goodput;
      std::vector<double> critical;
      std::vector<double> times;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const std::vector<Request> requests = Simulation(variant, scenario, seed * 100).Run();
        const Figures figures = Measure(requests, during);
        goodput.push_back(figures.goodput * scenario.disturbedSlowdown);
        critical.push_back(figures.critical);
        times.push_back(RecoveryTime(requests, scenario));
      }
      std::printf("| %s | %s | %.2f | %.3f | %s |\n",
                  disturbance,
                  name,
                  Median(goodput),
                  Median(critical),
                  RecoveryText(times).c_str());
    }
  }
}

} // namespace
} // namespace jackdawwind

int
main()
{
  jackdawwind::PrintLoads();
  jackdawwind::PrintRecoveries();
  return 0;
}
