#include "node/metrics.h"

#include <chrono>
#include <sstream>

#include "values/text.h"

namespace jackdawwind::node {

namespace {

double
Seconds(std::chrono::microseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// Escapes a label value for the Prometheus text format.
std::string
EscapeLabelValue(const std::string& aText)
{
  std::string out;
  for (const char character : aText) {
    if (character == '\n') {
      out += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      out += '\\';
    }
    out += character;
  }
  return out;
}

/// Counters are told from gauges by their names, as Prometheus recommends.
bool
IsCounter(Metric aMetric)
{
  return ToText(aMetric).ends_with("_total");
}

} // namespace

void
Metrics::Record(const CallMeasured& aMeasured)
{
  const Series series(this->OrganisationLabel(aMeasured.GetOrganisation()),
                      aMeasured.GetImportance(),
                      aMeasured.AtEntry());
  CallHistograms& entry = this->histograms[series];
  entry.total(Seconds(aMeasured.Total()));
  entry.queued(Seconds(aMeasured.Queued()));
  this->retries += aMeasured.Retries();
  ++this->results[aMeasured.Code()];
}

void
Metrics::CountRefusal(ResultCode aCode)
{
  ++this->results[aCode];
}

std::uint64_t
Metrics::CountDrop(const std::string& aRing)
{
  return ++this->drops[aRing];
}

void
Metrics::Count(const ControlTraffic& aTraffic)
{
  std::pair<std::uint64_t, std::uint64_t>& total =
    this->control[{ aTraffic.kind, aTraffic.distance }];
  total.first += aTraffic.messages;
  total.second += aTraffic.bytes;
}

void
Metrics::Count(LogEvent aEvent)
{
  ++this->logEvents[aEvent];
}

void
Metrics::Update(const MetricUpdated& aUpdate)
{
  std::map<std::string, double>& values = this->decisions[aUpdate.GetMetric()];
  if (values.size() >= kMaxLabels && !values.contains(aUpdate.Label())) {
    return;
  }
  double& value = values[aUpdate.Label()];
  value = IsCounter(aUpdate.GetMetric()) ? value + aUpdate.Value() : aUpdate.Value();
}

std::string
Metrics::OrganisationLabel(const std::string& aOrganisation)
{
  if (aOrganisation.empty()) {
    return "unknown";
  }
  if (!this->organisations.contains(aOrganisation)) {
    if (this->organisations.size() >= kMaxOrganisations) {
      return "other";
    }
    this->organisations.insert(aOrganisation);
  }
  return aOrganisation;
}

void
Metrics::WriteHistogram(std::ostream& aOut,
                        const char* aName,
                        Histogram CallHistograms::*aMember) const
{
  aOut << "# TYPE " << aName << " histogram\n";
  for (const std::map<Series, CallHistograms>::value_type& entry : this->histograms) {
    const Histogram& histogram = entry.second.*aMember;
    const std::string labels = LabelsOf(entry.first);
    const BucketCounts& counts = boost::accumulators::extract_result<BucketCountsTag>(histogram);
    for (std::size_t index = 0; index < counts.size(); ++index) {
      aOut << aName << "_bucket{" << labels << ",le=\"" << kBucketSeconds[index] << "\"} "
           << counts[index] << "\n";
    }
    const std::size_t count = boost::accumulators::count(histogram);
    aOut << aName << "_bucket{" << labels << ",le=\"+Inf\"} " << count << "\n"
         << aName << "_sum{" << labels << "} " << boost::accumulators::sum(histogram) << "\n"
         << aName << "_count{" << labels << "} " << count << "\n";
  }
}

std::string
Metrics::LabelsOf(const Series& aSeries)
{
  std::ostringstream out;
  out << "organisation=\"" << EscapeLabelValue(std::get<0>(aSeries)) << "\",importance=\""
      << std::get<1>(aSeries) << "\",hop=\"" << (std::get<2>(aSeries) ? "entry" : "admitting")
      << "\"";
  return out.str();
}

std::string
Metrics::Text() const
{
  // Significant digits of a printed double; the rounding error is negligible.
  constexpr int kPrecisionDigits = 12;
  std::ostringstream out;
  out.precision(kPrecisionDigits);
  this->WriteHistogram(out, "jackdawwind_call_seconds", &CallHistograms::total);
  this->WriteHistogram(out, "jackdawwind_queue_seconds", &CallHistograms::queued);
  out << "# TYPE jackdawwind_calls_total counter\n";
  for (const std::map<ResultCode, std::uint64_t>::value_type& entry : this->results) {
    out << "jackdawwind_calls_total{result=\"" << static_cast<unsigned>(entry.first) << "\",code=\""
        << ToText(entry.first) << "\"} " << entry.second << "\n";
  }
  out << "# TYPE jackdawwind_retries_total counter\n"
      << "jackdawwind_retries_total " << this->retries << "\n"
      << "# TYPE jackdawwind_drops_total counter\n";
  for (const std::map<std::string, std::uint64_t>::value_type& entry : this->drops) {
    out << "jackdawwind_drops_total{ring=\"" << EscapeLabelValue(entry.first) << "\"} "
        << entry.second << "\n";
  }
  out << "# TYPE jackdawwind_control_messages_total counter\n";
  for (const auto& [key, total] : this->control) {
    out << "jackdawwind_control_messages_total{kind=\"" << key.first << "\",distance=\""
        << key.second << "\"} " << total.first << "\n";
  }
  out << "# TYPE jackdawwind_control_bytes_total counter\n";
  for (const auto& [key, total] : this->control) {
    out << "jackdawwind_control_bytes_total{kind=\"" << key.first << "\",distance=\"" << key.second
        << "\"} " << total.second << "\n";
  }
  out << "# TYPE jackdawwind_log_events_total counter\n";
  for (const auto& [event, count] : this->logEvents) {
    out << "jackdawwind_log_events_total{number=\"" << static_cast<unsigned>(event) << "\",name=\""
        << ToText(event) << "\"} " << count << "\n";
  }
  this->WriteDecisions(out);
  return out.str();
}

void
Metrics::WriteDecisions(std::ostream& aOut) const
{
  for (const auto& [metric, values] : this->decisions) {
    const std::string name = "jackdawwind_" + std::string(ToText(metric));
    aOut << "# TYPE " << name << (IsCounter(metric) ? " counter\n" : " gauge\n");
    for (const auto& [label, value] : values) {
      aOut << name;
      if (!label.empty()) {
        aOut << "{label=\"" << EscapeLabelValue(label) << "\"}";
      }
      aOut << " " << value << "\n";
    }
  }
}

} // namespace jackdawwind::node
