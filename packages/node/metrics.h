// Metrics of the node's calls in the Prometheus text format.
//
//   Metrics metrics;
//   metrics.Record(measured);
//   std::string text = metrics.Text();
//
// Histograms of total latency and queue time per organisation, importance class and hop, built with
// Boost.Accumulators; counters per result code. Recording a call costs two map look-ups. Memory is
// bounded: organisations beyond the first kMaxOrganisations share the label "other". Not safe for
// more than one thread.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "node/report_item.h"
#include "values/generated/calls.h"

namespace jackdawwind::node {

/// Upper bounds of the histogram buckets in seconds: 0.5 ms to 30 s.
constexpr std::array<double, 15> kBucketSeconds{ 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                 0.2,    0.5,   1.0,   2.0,   5.0,  10.0, 30.0 };

/// Number of samples at or below each bound.
using BucketCounts = std::array<std::uint64_t, kBucketSeconds.size()>;

/// Accumulator for Boost.Accumulators that counts samples in fixed buckets. The library's own
/// histogram derives its bounds from the first samples, so its counts cannot be summed over nodes.
struct BucketCountsImpl : boost::accumulators::accumulator_base
{
  using result_type = const BucketCounts&;

  template<typename Arguments>
  explicit BucketCountsImpl(const Arguments&)
  {
  }

  template<typename Arguments>
  void operator()(const Arguments& aArguments)
  {
    const double sample = aArguments[boost::accumulators::sample];
    for (std::size_t index = 0; index < kBucketSeconds.size(); ++index) {
      if (sample <= kBucketSeconds[index]) {
        ++this->counts[index];
      }
    }
  }

  // NOLINTNEXTLINE(readability-identifier-naming): the name is set by Boost.Accumulators.
  result_type result(boost::accumulators::dont_care /*aUnused*/) const { return this->counts; }

private:
  BucketCounts counts{};
};

struct BucketCountsTag : boost::accumulators::depends_on<>
{
  using impl = boost::mpl::always<BucketCountsImpl>;
};

class Metrics
{
public:
  static constexpr std::size_t kMaxOrganisations = 64;
  static constexpr std::size_t kMaxLabels = 64;

  void Record(const CallMeasured& aMeasured);
  /// Counts a request that was refused before its organisation was known.
  void CountRefusal(ResultCode aCode);
  /// Counts a drop; returns the new total of this ring or cause.
  std::uint64_t CountDrop(const std::string& aRing);
  /// Adds to the counters of control messages.
  void Count(const ControlTraffic& aTraffic);
  /// Counts a log event, also one whose line is not written because of its level or a limit.
  void Count(LogEvent aEvent);
  /// Applies a metric of the decisions. Labels beyond the first kMaxLabels of a metric are dropped.
  void Update(const MetricUpdated& aUpdate);
  /// All metrics in the Prometheus text format, version 0.0.4.
  std::string Text() const;

private:
  using Histogram =
    boost::accumulators::accumulator_set<double,
                                         boost::accumulators::stats<BucketCountsTag,
                                                                    boost::accumulators::tag::count,
                                                                    boost::accumulators::tag::sum>>;

  struct CallHistograms
  {
    Histogram total;
    Histogram queued;
  };

  /// Organisation, importance class, and whether the call was measured at the entry node.
  using Series = std::tuple<std::string, Importance, bool>;

  std::string OrganisationLabel(const std::string& aOrganisation);
  void WriteDecisions(std::ostream& aOut) const;
  void WriteHistogram(std::ostream& aOut,
                      const char* aName,
                      Histogram CallHistograms::*aMember) const;
  static std::string LabelsOf(const Series& aSeries);

  std::set<std::string> organisations;
  std::map<Series, CallHistograms> histograms;
  std::map<ResultCode, std::uint64_t> results;
  std::map<std::string, std::uint64_t> drops;
  /// Control messages sent and their bytes, by kind and distance.
  std::map<std::pair<std::string, Distance>, std::pair<std::uint64_t, std::uint64_t>> control;
  std::map<LogEvent, std::uint64_t> logEvents;
  /// Metrics of the decisions, by metric and label.
  std::map<Metric, std::map<std::string, double>> decisions;
  std::uint64_t retries = 0;
};

} // namespace jackdawwind::node
