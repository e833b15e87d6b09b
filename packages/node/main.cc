// Program jackdawwind: runs one node until SIGTERM or SIGINT, then drains it.
#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <string>
#include <variant>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <malloc.h>

#include "node/log_writer.h"
#include "node/net.h"
#include "node/node_process.h"
#include "platform/run_on_platform.h"
#include "wire/yaml.h"

namespace jackdawwind::node {

namespace {

/// Delay before a drain request is retried when the event ring is full.
constexpr Duration kDrainRetryDelay = std::chrono::milliseconds(20);

/// Blocks of this size and above are mapped on their own and returned to the system when freed. By
/// default the C library raises this threshold with the blocks that it sees; a body that grows
/// would then leave all its earlier blocks in the process.
constexpr int kMappedBlockBytes = 1 << 20;
/// Free memory that may stay at the end of the heap, so that small bodies don't cost system calls.
constexpr int kKeptHeapBytes = 8 << 20;

/// Makes the C library return the memory of large bodies to the system. Errors are ignored: the
/// default only keeps more memory.
void
ConfigureAllocator()
{
  static_cast<void>(mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes));
  static_cast<void>(mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes));
}

/// Waits for signals on the main thread; the first SIGTERM or SIGINT requests a drain.
class SignalWatch
{
public:
  SignalWatch(asio::io_context& aIo, NodeProcess& aNode)
    : signals(aIo, SIGTERM, SIGINT)
    , retryTimer(aIo)
    , node(aNode)
  {
    this->signals.async_wait([this](const ErrorCode& aError, int) {
      if (!aError) {
        this->RequestDrain();
      }
    });
  }

private:
  void RequestDrain()
  {
    if (this->node.RequestDrain()) {
      return;
    }
    this->retryTimer.expires_after(kDrainRetryDelay);
    this->retryTimer.async_wait([this](const ErrorCode&) { this->RequestDrain(); });
  }

  asio::signal_set signals;
  ClockTimer retryTimer;
  NodeProcess& node;
};

int
RunNode(const NodeSettings& aSettings)
{
  NodeProcess::OpenResult opened = NodeProcess::Open(aSettings);
  if (const ListenError* error = std::get_if<ListenError>(&opened)) {
    LogWriter log(aSettings.GetLogLevel(), aSettings.Node());
    log.Write(LogEvent::kListenerFailed,
              "address=" + error->address + " reason=\"" + error->reason + "\"");
    return EXIT_FAILURE;
  }
  NodeProcess& node = *std::get<std::unique_ptr<NodeProcess>>(opened);
  asio::io_context io(1);
  const asio::executor_work_guard<asio::io_context::executor_type> work(io.get_executor());
  const SignalWatch watch(io, node);
  std::cout << "listening " << node.Addresses() << std::endl;
  node.Start([&io] { asio::post(io, [&io] { io.stop(); }); });
  io.run();
  node.Stop();
  return EXIT_SUCCESS;
}

int
Main(int aCount, char** aArguments)
{
  ConfigureAllocator();
  cxxopts::Options options("jackdawwind", "Overload control node");
  options.add_options()(
    "settings", "YAML file with the node's settings", cxxopts::value<std::string>())(
    "platform", "Run on the platform, with the settings file that the platform provides")(
    "platform-settings",
    "Settings file of the platform; default: the path in JACKDAWWIND_SETTINGS",
    cxxopts::value<std::string>()->default_value(""))(
    "policy",
    "YAML file with the policy of each region, for a node on the platform; default: none",
    cxxopts::value<std::string>()->default_value(""))("help", "Show this text");
  const cxxopts::ParseResult arguments = options.parse(aCount, aArguments);
  if (arguments.count("platform") > 0) {
    return adapter::RunOnPlatform({ .settings = arguments["platform-settings"].as<std::string>(),
                                    .policy = arguments["policy"].as<std::string>() });
  }
  if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
    std::cout << options.help();
    return arguments.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  const wire::YamlResult<NodeSettings> settings =
    wire::LoadNodeSettings(arguments["settings"].as<std::string>());
  if (const YamlError* error = std::get_if<YamlError>(&settings)) {
    LogWriter log(LogLevel::kInfo, "none");
    log.Write(LogEvent::kSettingsRejected, "reason=\"" + wire::Describe(*error) + "\"");
    return EXIT_FAILURE;
  }
  return RunNode(std::get<NodeSettings>(settings));
}

} // namespace

} // namespace jackdawwind::node

int
main(int aCount, char** aArguments)
{
  try {
    return jackdawwind::node::Main(aCount, aArguments);
  } catch (const std::exception& exception) {
    std::cerr << "jackdawwind: " << exception.what() << '\n';
    return EXIT_FAILURE;
  }
}
