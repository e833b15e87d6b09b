// Stand-in of a target: executes requests, counts them and announces itself to its node.
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
    std::uint16_t port = 0;
    std::string service;
    /// The node's target listener.
    boost::asio::ip::tcp::endpoint node;
    TargetFaults behaviour;
    /// Time for which it announces that it is starting.
    std::chrono::milliseconds coldStart{ 0 };
    /// Path of a child call per request, with the service; empty for none.
    std::string childPath;
    /// Bytes of an answer's body.
    std::size_t answerBytes = 16;
  };

  Target(boost::asio::io_context& aContext, Options aOptions);

  std::uint16_t Port() const { return this->server.Port(); }

private:
  using Request = std::shared_ptr<ServedRequest>;

  /// A running call.
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
  void Work(const CallPointer& aCall);
  void Answer(const CallPointer& aCall);
  void AnswerWhole(const CallPointer& aCall, unsigned aStatus);
  /// Counts the end of a call; false when it had ended before.
  bool End(const CallPointer& aCall);
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
