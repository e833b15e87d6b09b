// Stand-in for a target: executes requests, counts them and announces itself to its node.
//
//   Target target(context, options);
//   std::cout << "listening " << target.Port() << std::endl;
//
// Control: GET /counts, PUT /faults (TargetFaults), POST /drain. Every other request is a call.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "standins/common/http_client.h"
#include "standins/common/http_server.h"
#include "util/clock.h"
#include "values/generated/calls.h"
#include "values/generated/standins.h"

namespace jackdawwind::standins {

class Target
{
public:
  struct Options
  {
    /// TCP port; 0 selects an ephemeral port.
    std::uint16_t port = 0;
    std::string service;
    /// The node's target listener.
    boost::asio::ip::tcp::endpoint node;
    TargetFaults behaviour;
    /// Time after construction during which the state starting is announced.
    std::chrono::milliseconds coldStart{ 0 };
    /// Path of the child call made for each request, starting with the service; empty for none.
    std::string childPath;
    /// Size in bytes of the filler in an answer.
    std::size_t answerBytes = 16;
  };

  Target(boost::asio::io_context& aContext, Options aOptions);

  std::uint16_t Port() const { return this->server.Port(); }

private:
  using Request = std::shared_ptr<ServedRequest>;

  /// A call in execution.
  struct Call
  {
    Request request;
    bool ended = false;
  };

  using CallPointer = std::shared_ptr<Call>;
  using Timer = boost::asio::basic_waitable_timer<Clock>;

  void OnRequest(const Request& aRequest);
  void OnCall(const Request& aRequest);
  void CallChild(const CallPointer& aCall);
  void Execute(const CallPointer& aCall);
  void Answer(const CallPointer& aCall);
  void AnswerComplete(const CallPointer& aCall, unsigned aStatus);
  /// Marks a call as ended; false if it had ended before.
  bool FinishCall(const CallPointer& aCall);
  void SetFaults(const Request& aRequest);
  std::string Counts() const;
  void Announce();
  TargetState State() const;

  boost::asio::io_context& context;
  Options options;
  TargetFaults behaviour;
  Time started;
  bool draining = false;
  bool sawKey = false;
  std::uint32_t running = 0;
  std::uint64_t refused = 0;
  std::uint64_t abandoned = 0;
  /// Executions by path and tag.
  std::map<std::pair<std::string, std::string>, std::uint64_t> executions;
  Timer announceTimer;
  HttpServer server;
};

} // namespace jackdawwind::standins
