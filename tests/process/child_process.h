// Child process that runs a program of this repository for a test.
//
//   ChildProcess log("standin_log", { "--port", "0" });
//   log.FirstLine();       // "listening 4711"
//   log.Signal(SIGSTOP);   // suspends it
//
// The destructor kills the process and waits for it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace jackdawwind::tests {

class ChildProcess
{
public:
  /// Starts a program of the build's binary folder with its standard output in a pipe, and blocks
  /// until it has printed its first line.
  ChildProcess(const std::string& aProgram, const std::vector<std::string>& aArguments);
  /// Starts a program whose standard output is appended to a file; FirstLine() stays empty.
  ChildProcess(const std::string& aProgram,
               const std::vector<std::string>& aArguments,
               const std::string& aOutputFile);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /// First line of standard output; empty if the process ended before printing it.
  const std::string& FirstLine() const { return this->firstLine; }
  /// Port that follows a name in the first line, as in "listening 4711 control 4712" or
  /// "callers=4711"; aborts the program if there is none.
  std::uint16_t Port(const std::string& aName) const;
  void Signal(int aSignal) const;
  /// Waits until the process has ended; returns its exit status, or -1 if a signal terminated it.
  int Wait();
  /// Whether the process has ended; does not wait.
  bool Ended();
  /// Largest resident memory that the process has had; 0 if it has ended.
  std::uint64_t PeakMemoryBytes() const;

private:
  std::string ReadLine() const;

  pid_t pid = 0;
  int output = -1;
  bool reaped = false;
  int status = 0;
  std::string firstLine;
};

/// Runs a program to its end and returns its exit status and standard output.
struct ProgramResult
{
  int status = 0;
  std::string output;
};
ProgramResult RunProgram(const std::string& aProgram, const std::vector<std::string>& aArguments);

} // namespace jackdawwind::tests
