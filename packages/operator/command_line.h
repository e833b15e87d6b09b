// Command line of jackdawctl.
//
//   return ExitStatus(RunCommandLine({ "check", "examples/adeyemi" }, std::cout, std::cerr));
//
// Results are written to the first stream, as text or, with --json, as one line of JSON. Without
// --json, errors are written to the second stream.
#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <variant>
#include <vector>

namespace jackdawwind::control {

/// Exit status of jackdawctl, as listed in its help text.
enum class ExitCode : std::uint8_t
{
  kOk = 0,
  kUsage = 1,
  kInvalidConfiguration = 2,
  kConflict = 3,
  kUnreachable = 4,
  kRefused = 5,
};

/// IP address and TCP port.
struct HostPort
{
  std::string host{};
  std::uint32_t port = 0;

  friend bool operator==(const HostPort&, const HostPort&) = default;
};

/// Validates a configuration folder without contacting the log service.
struct CheckCommand
{
  std::string folder{};

  friend bool operator==(const CheckCommand&, const CheckCommand&) = default;
};

/// Applies a configuration folder through the log service. The timeout covers the whole command.
struct ApplyCommand
{
  std::string folder{};
  HostPort log{};
  std::string author{};
  std::chrono::milliseconds timeout{};

  friend bool operator==(const ApplyCommand&, const ApplyCommand&) = default;
};

/// Prints the status of a node.
struct StatusCommand
{
  HostPort node{};
  std::string token{};
  std::chrono::milliseconds timeout{};

  friend bool operator==(const StatusCommand&, const StatusCommand&) = default;
};

/// Asks a node to drain and stop.
struct DrainCommand
{
  HostPort node{};
  std::string token{};
  std::chrono::milliseconds timeout{};

  friend bool operator==(const DrainCommand&, const DrainCommand&) = default;
};

/// Generates a key for an organisation.
struct KeyCommand
{
  std::string organisation{};

  friend bool operator==(const KeyCommand&, const KeyCommand&) = default;
};

/// Prints a help text.
struct HelpCommand
{
  std::string text{};

  friend bool operator==(const HelpCommand&, const HelpCommand&) = default;
};

/// The arguments do not form a command.
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
  /// Prints the result as JSON.
  bool json = false;

  friend bool operator==(const CommandLine&, const CommandLine&) = default;
};

/// Parses the arguments that follow the program's name; errors are returned as a UsageError.
CommandLine ParseCommandLine(const std::vector<std::string>& aArguments);

/// Runs a command, prints its result and returns the exit status.
ExitCode RunCommand(const CommandLine& aCommandLine, std::ostream& aOut, std::ostream& aErrors);

} // namespace jackdawwind::control
