// CPU time and memory of child processes, read from /proc, and quantiles of measured values.
//
//   pid_t node = FindChild("jackdawwind", "/a1.yaml");
//   double before = CpuSeconds(node);
//
// FindChild searches only the children of the calling process. CPU time has a resolution of one
// clock tick (10 ms), so take differences over seconds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jackdawwind::bench {

/// Returns the child process that runs aProgram and has an argument that ends with aSuffix. Aborts
/// the program if there is none.
pid_t FindChild(const std::string& aProgram, const std::string& aSuffix);

/// User and system CPU time of a process since its start, in seconds; 0 if it no longer exists.
double CpuSeconds(pid_t aProcess);

/// Resident memory of a process in MiB; 0 if it no longer exists.
double ResidentMebibytes(pid_t aProcess);

/// Quantile of the values by the nearest-rank method, for a fraction from 0 to 1; 0 if there are no
/// values.
double Quantile(std::vector<double> aValues, double aFraction);

double Median(const std::vector<double>& aValues);

/// Returns a loopback TCP port that is free at the time of the call.
std::uint16_t FreePort();

} // namespace jackdawwind::bench
