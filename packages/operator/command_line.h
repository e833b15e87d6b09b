// Command line of jackdawctl.
//
//   return ExitStatus(RunCommandLine({ "check", "examples/adeyemi" }, std::cout, std::cerr));
//
// Results go to the first stream, as text or, with --json, as one line of JSON; errors in text go
// to the second one.
#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace jackdawwind::control {

/// Exit status of jackdawctl.
enum class ExitCode : std::uint8_t
{
  kOk = 0,
  kUsage = 1,
  kInvalidConfiguration = 2,
  kConflict = 3,
  kUnreachable = 4,
  kRefused = 5,
};

struct HostPort
{
  std::string host{};
  std::uint32_t port = 0;

  friend bool operator==(const HostPort&, const HostPort&) = default;
};

struct CheckCommand
{
  std::string folder{};

  friend bool operator==(const CheckCommand&, const CheckCommand&) = default;
};

struct ApplyCommand
{
  std::string folder{};
  HostPort log{};
  std::string author{};
  std::chrono::milliseconds timeout{};

  friend bool operator==(const ApplyCommand&, const ApplyCommand&) = default;
};

struct StatusCommand
{
  HostPort node{};
  std::string token{};
  std::chrono::milliseconds timeout{};

  friend bool operator==(const StatusCommand&, const StatusCommand&) = default;
};

struct DrainCommand
{
  HostPort node{};
  std::string token{};
  std::chrono::milliseconds timeout{};

  friend bool operator==(const DrainCommand&, const DrainCommand&) = default;
};

struct KeyCommand
{
  std::string organisation{};

  friend bool operator==(const KeyCommand&, const KeyCommand&) = default;
};

/// The help text is to be printed.
struct HelpCommand
{
  std::string text{};

  friend bool operator==(const HelpCommand&, const HelpCommand&) = default;
};

struct UsageError
{
  std::string reason{};

  friend bool operator==(const UsageError&, const UsageError&) = default;
};

using Command = std::variant<UsageError,
                             HelpCommand,
                             CheckCommand,
                             ApplyCommand,
                             StatusCommand,
                             DrainCommand,
                             KeyCommand>;

struct CommandLine
{
  Command command{};
  /// Print results as JSON.
  bool json = false;

  friend bool operator==(const CommandLine&, const CommandLine&) = default;
};

/// Reads the arguments after the program's name.
CommandLine ParseCommandLine(const std::vector<std::string>& aArguments);

/// Runs a command and prints its result.
ExitCode RunCommand(const CommandLine& aCommandLine, std::ostream& aOut, std::ostream& aErrors);

} // namespace jackdawwind::control
