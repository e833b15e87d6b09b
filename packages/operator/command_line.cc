#include "operator/command_line.h"

#include <charconv>
#include <fstream>
#include <optional>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>

namespace jackdawwind::control {

namespace {

constexpr const char* kHelp = R"(jackdawctl: operates a jackdawwind fleet.

usage: jackdawctl COMMAND [OPTIONS]

commands:
  check DIR          validates a configuration folder
  apply DIR          applies a configuration folder to the fleet
  status             shows the status of a node
  drain              asks a node to drain and stop
  key                generates a key for an organisation

Every command accepts --help and --json (prints the result as one line of JSON).

exit status:
  0  success, or nothing to change
  1  usage error
  2  the configuration is invalid
  3  conflict with a concurrent change; nothing was changed, run the command again
  4  the log service or the node cannot be reached, or the result is unknown
  5  the node refused the request, or the change was rejected as invalid
)";

constexpr const char* kDefaultTimeoutMs = "10000";
constexpr std::uint32_t kMaxPort = 65535;

/// Adds the common options and those of the given command.
void
AddOptions(cxxopts::Options& aOptions, const std::string& aCommand)
{
  cxxopts::OptionAdder add = aOptions.add_options();
  add("help", "prints this help");
  add("json", "prints the result as one line of JSON");
  if (aCommand == "check" || aCommand == "apply") {
    add("dir", "configuration folder", cxxopts::value<std::string>());
    aOptions.parse_positional({ "dir" });
    aOptions.positional_help("DIR");
  }
  if (aCommand == "apply") {
    add("log", "HOST:PORT of the log service", cxxopts::value<std::string>());
    add(
      "author", "author recorded in the change", cxxopts::value<std::string>()->default_value(""));
  }
  if (aCommand == "status" || aCommand == "drain") {
    add("node", "HOST:PORT of the node's administration listener", cxxopts::value<std::string>());
    add("token", "administration token", cxxopts::value<std::string>());
    add(
      "token-file",
      "file with the administration token in its first line; unlike --token, it is not visible in "
      "the process list",
      cxxopts::value<std::string>());
  }
  if (aCommand == "apply" || aCommand == "status" || aCommand == "drain") {
    add("timeout-ms",
        "timeout of the whole command, in milliseconds",
        cxxopts::value<std::uint32_t>()->default_value(kDefaultTimeoutMs));
  }
  if (aCommand == "key") {
    add("organisation", "organisation that the key belongs to", cxxopts::value<std::string>());
  }
}

/// Value of a string option; an error that names aLabel when it is missing or empty.
std::variant<std::string, UsageError>
RequireOption(const cxxopts::ParseResult& aParsed,
              const std::string& aName,
              const std::string& aLabel)
{
  if (aParsed.count(aName) == 0 || aParsed[aName].as<std::string>().empty()) {
    return UsageError{ aLabel + " is required" };
  }
  return aParsed[aName].as<std::string>();
}

std::variant<HostPort, UsageError>
RequireHostPort(const cxxopts::ParseResult& aParsed, const std::string& aName)
{
  const std::variant<std::string, UsageError> text = RequireOption(aParsed, aName, "--" + aName);
  if (const UsageError* error = std::get_if<UsageError>(&text)) {
    return *error;
  }
  const std::string& value = std::get<std::string>(text);
  const UsageError invalid{ "--" + aName +
                            ": expected IP_ADDRESS:PORT, for example 127.0.0.1:9090" };
  const std::size_t colon = value.rfind(':');
  if (colon == std::string::npos) {
    return invalid;
  }
  std::string host = value.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code addressError;
  boost::asio::ip::make_address(host, addressError);
  std::uint32_t port = 0;
  const char* const end = value.data() + value.size();
  const std::from_chars_result result = std::from_chars(value.data() + colon + 1, end, port);
  if (addressError || result.ec != std::errc() || result.ptr != end || port == 0 ||
      port > kMaxPort) {
    return invalid;
  }
  return HostPort{ host, port };
}

/// Token from the first line of --token-file if that is given, otherwise from --token.
std::variant<std::string, UsageError>
RequireToken(const cxxopts::ParseResult& aParsed)
{
  if (aParsed.count("token-file") == 0) {
    return RequireOption(aParsed, "token", "--token or --token-file");
  }
  std::ifstream file(aParsed["token-file"].as<std::string>());
  std::string token;
  if (!std::getline(file, token) || token.empty()) {
    return UsageError{ "--token-file: cannot read a token from the first line of the file" };
  }
  return token;
}

std::chrono::milliseconds
ParseTimeout(const cxxopts::ParseResult& aParsed)
{
  return std::chrono::milliseconds(aParsed["timeout-ms"].as<std::uint32_t>());
}

Command
ToApplyCommand(const cxxopts::ParseResult& aParsed, const std::string& aFolder)
{
  const std::variant<HostPort, UsageError> log = RequireHostPort(aParsed, "log");
  if (const UsageError* error = std::get_if<UsageError>(&log)) {
    return *error;
  }
  return ApplyCommand{
    aFolder, std::get<HostPort>(log), aParsed["author"].as<std::string>(), ParseTimeout(aParsed)
  };
}

Command
ToFolderCommand(const cxxopts::ParseResult& aParsed, const std::string& aName)
{
  const std::variant<std::string, UsageError> folder = RequireOption(aParsed, "dir", "DIR");
  if (const UsageError* error = std::get_if<UsageError>(&folder)) {
    return *error;
  }
  if (aName == "apply") {
    return ToApplyCommand(aParsed, std::get<std::string>(folder));
  }
  return CheckCommand{ std::get<std::string>(folder) };
}

Command
ToNodeCommand(const cxxopts::ParseResult& aParsed, const std::string& aName)
{
  const std::variant<HostPort, UsageError> node = RequireHostPort(aParsed, "node");
  if (const UsageError* error = std::get_if<UsageError>(&node)) {
    return *error;
  }
  const std::variant<std::string, UsageError> token = RequireToken(aParsed);
  if (const UsageError* error = std::get_if<UsageError>(&token)) {
    return *error;
  }
  const HostPort& address = std::get<HostPort>(node);
  if (aName == "status") {
    return StatusCommand{ address, std::get<std::string>(token), ParseTimeout(aParsed) };
  }
  return DrainCommand{ address, std::get<std::string>(token), ParseTimeout(aParsed) };
}

Command
ToKeyCommand(const cxxopts::ParseResult& aParsed)
{
  const std::variant<std::string, UsageError> name =
    RequireOption(aParsed, "organisation", "--organisation");
  if (const UsageError* error = std::get_if<UsageError>(&name)) {
    return *error;
  }
  return KeyCommand{ std::get<std::string>(name) };
}

Command
ToCommand(const cxxopts::ParseResult& aParsed, const std::string& aName)
{
  if (!aParsed.unmatched().empty()) {
    return UsageError{ "unexpected argument " + aParsed.unmatched().front() };
  }
  if (aName == "check" || aName == "apply") {
    return ToFolderCommand(aParsed, aName);
  }
  if (aName == "key") {
    return ToKeyCommand(aParsed);
  }
  return ToNodeCommand(aParsed, aName);
}

} // namespace

CommandLine
ParseCommandLine(const std::vector<std::string>& aArguments)
{
  const std::string name = aArguments.empty() ? "" : aArguments.front();
  if (name == "--help" || name == "help") {
    return { HelpCommand{ kHelp }, false };
  }
  if (name != "check" && name != "apply" && name != "status" && name != "drain" && name != "key") {
    return { UsageError{ "expected a command: check, apply, status, drain or key" }, false };
  }
  cxxopts::Options options("jackdawctl " + name);
  AddOptions(options, name);
  std::vector<const char*> arguments;
  arguments.reserve(aArguments.size());
  for (const std::string& argument : aArguments) {
    arguments.push_back(argument.c_str());
  }
  try {
    const cxxopts::ParseResult parsed =
      options.parse(static_cast<int>(arguments.size()), arguments.data());
    if (parsed.count("help") > 0) {
      return { HelpCommand{ options.help() }, false };
    }
    return { ToCommand(parsed, name), parsed.count("json") > 0 };
  } catch (const cxxopts::exceptions::exception& exception) {
    return { UsageError{ exception.what() }, false };
  }
}

} // namespace jackdawwind::control
