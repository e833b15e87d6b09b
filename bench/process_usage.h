// CPU time and memory of the child processes of this program, from /proc.
//
//   pid_t node = FindChild("jackdawwind", "/a1.yaml");
//   double before = CpuSeconds(node);
//
// Only children of the calling process are looked at. CPU time has a resolution of one clock tick
// (10 ms), so differences are meant to be taken over seconds.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jackdawwind::bench {

/// Child of this process whose program has this name and one of whose arguments ends with aSuffix.
/// Ends the program when there is none.
pid_t FindChild(const std::string& aProgram, const std::string& aSuffix);

/// User and system time of a process so far.
double CpuSeconds(pid_t aProcess);

/// Resident memory of a process.
double ResidentMegabytes(pid_t aProcess);

/// Value below which this part of the values lies (nearest rank); 0 of none.
double Quantile(std::vector<double> aValues, double aPart);

double Median(const std::vector<double>& aValues);

/// Loopback port that nobody listens on at the moment.
std::uint16_t FreePort();

} // namespace jackdawwind::bench
