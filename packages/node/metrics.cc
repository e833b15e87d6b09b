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

/// Text of a label value in the Prometheus format.
std::string
Escaped(const std::string& aText)
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

std::string
Number(double aValue)
{
  constexpr int kDigits = 12;
  std::ostringstream out;
  out.precision(kDigits);
  out << aValue;
  return out.str();
}

} // namespace

void
Metrics::Record(const CallMeasured& aMeasured)
{
  const Series series(this->OrganisationLabel(aMeasured.GetOrganisation()),
                      aMeasured.GetImportance(),
                      aMeasured.AtEntry());
  Times& entry = this->times[series];
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
Metrics::AppendHistogram(std::string& aOut, const char* aName, Histogram Times::*aWhich) const
{
  aOut += std::string("# TYPE ") + aName + " histogram\n";
  for (const std::map<Series, Times>::value_type& entry : this->times) {
    const std::string& organisation = std::get<0>(entry.first);
    const Importance importance = std::get<1>(entry.first);
    const bool atEntry = std::get<2>(entry.first);
    const Histogram& histogram = entry.second.*aWhich;
    const std::string labels = "organisation=\"" + Escaped(organisation) + "\",importance=\"" +
                               std::string(ToText(importance)) + "\",hop=\"" +
                               (atEntry ? "entry" : "admitting") + "\"";
    const BucketCounts& counts = boost::accumulators::extract_result<BucketCountsTag>(histogram);
    for (std::size_t index = 0; index < counts.size(); ++index) {
      aOut += std::string(aName) + "_bucket{" + labels + ",le=\"" + Number(kBucketSeconds[index]) +
              "\"} " + std::to_string(counts[index]) + "\n";
    }
    const std::string count = std::to_string(boost::accumulators::count(histogram));
    aOut += std::string(aName) + "_bucket{" + labels + ",le=\"+Inf\"} " + count + "\n";
    aOut += std::string(aName) + "_sum{" + labels + "} " +
            Number(boost::accumulators::sum(histogram)) + "\n";
    aOut += std::string(aName) + "_count{" + labels + "} " + count + "\n";
  }
}

std::string
Metrics::Text() const
{
  std::string out;
  this->AppendHistogram(out, "jackdawwind_call_seconds", &Times::total);
  this->AppendHistogram(out, "jackdawwind_queue_seconds", &Times::queued);
  out += "# TYPE jackdawwind_calls_total counter\n";
  for (const std::map<ResultCode, std::uint64_t>::value_type& entry : this->results) {
    out += "jackdawwind_calls_total{result=\"" +
           std::to_string(static_cast<unsigned>(entry.first)) + "\",code=\"" +
           std::string(ToText(entry.first)) + "\"} " + std::to_string(entry.second) + "\n";
  }
  out += "# TYPE jackdawwind_retries_total counter\njackdawwind_retries_total " +
         std::to_string(this->retries) + "\n";
  out += "# TYPE jackdawwind_drops_total counter\n";
  for (const std::map<std::string, std::uint64_t>::value_type& entry : this->drops) {
    out += "jackdawwind_drops_total{ring=\"" + Escaped(entry.first) + "\"} " +
           std::to_string(entry.second) + "\n";
  }
  return out;
}

} // namespace jackdawwind::node
