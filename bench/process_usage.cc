#include "bench/process_usage.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <unistd.h>

namespace jackdawwind::bench {

namespace {

constexpr double kHalf = 0.5;

std::string
ProcPath(pid_t aProcess, const std::string& aFile)
{
  return "/proc/" + std::to_string(aProcess) + "/" + aFile;
}

std::string
ReadAll(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Whether a command line (NUL-terminated arguments) runs aProgram with an argument that ends with
/// aSuffix.
bool
Matches(const std::string& aArguments, const std::string& aProgram, const std::string& aSuffix)
{
  std::istringstream stream(aArguments);
  std::string argument;
  std::getline(stream, argument, '\0');
  if (!argument.ends_with("/" + aProgram)) {
    return false;
  }
  while (std::getline(stream, argument, '\0')) {
    if (argument.ends_with(aSuffix)) {
      return true;
    }
  }
  return false;
}

} // namespace

pid_t
FindChild(const std::string& aProgram, const std::string& aSuffix)
{
  for (const std::filesystem::directory_entry& task :
       std::filesystem::directory_iterator("/proc/self/task")) {
    std::istringstream children(ReadAll(task.path().string() + "/children"));
    pid_t child = 0;
    while (children >> child) {
      if (Matches(ReadAll(ProcPath(child, "cmdline")), aProgram, aSuffix)) {
        return child;
      }
    }
  }
  std::cerr << "no child process " << aProgram << " with an argument that ends with " << aSuffix
            << '\n';
  std::abort();
}

double
CpuSeconds(pid_t aProcess)
{
  const std::string text = ReadAll(ProcPath(aProcess, "stat"));
  // The name in parentheses may contain spaces; field 3 (state) follows it.
  const std::string::size_type end = text.rfind(')');
  if (end == std::string::npos) {
    return 0;
  }
  std::istringstream fields(text.substr(end + 1));
  std::string skipped;
  constexpr int kFieldsBeforeUserTime = 11;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double
ResidentMebibytes(pid_t aProcess)
{
  std::istringstream lines(ReadAll(ProcPath(aProcess, "status")));
  std::string word;
  while (lines >> word) {
    double kibibytes = 0;
    if (word == "VmRSS:" && lines >> kibibytes) {
      constexpr double kKibibytesPerMebibyte = 1024;
      return kibibytes / kKibibytesPerMebibyte;
    }
  }
  return 0;
}

double
Quantile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const double rank = std::ceil(aFraction * static_cast<double>(aValues.size()));
  return aValues[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

double
Median(const std::vector<double>& aValues)
{
  return Quantile(aValues, kHalf);
}

std::uint16_t
FreePort()
{
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor acceptor(
    io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

} // namespace jackdawwind::bench
