// Runs the log service stand-in on its own thread, for in-process tests.
//
//   LogServiceThread service;
//   client settings: 127.0.0.1, service.Port()
//   service.Call([](LogService& aService) { aService.SetFaults(...); });
#pragma once

#include <cstdint>
#include <future>
#include <thread>
#include <type_traits>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "logservice/post.h"
#include "standins/log_service/log_service.h"

namespace jackdawwind::standins {

class LogServiceThread
{
public:
  explicit LogServiceThread(LogService::Options aOptions = {})
    : service(this->context, aOptions)
    , thread([this] { this->context.run(); })
  {
  }

  ~LogServiceThread()
  {
    this->context.stop();
    this->thread.join();
  }

  LogServiceThread(const LogServiceThread&) = delete;
  LogServiceThread& operator=(const LogServiceThread&) = delete;

  std::uint16_t Port() const { return this->service.Port(); }

  /// Runs a function on the service's thread, blocks until it returns, and returns its result.
  template<typename Function>
  std::invoke_result_t<Function, LogService&> Call(Function aFunction)
  {
    std::packaged_task<std::invoke_result_t<Function, LogService&>()> task(
      [this, function = std::move(aFunction)]() mutable { return function(this->service); });
    std::future<std::invoke_result_t<Function, LogService&>> result = task.get_future();
    logservice::Post(this->context, std::move(task));
    return result.get();
  }

private:
  boost::asio::io_context context;
  LogService service;
  std::thread thread;
};

} // namespace jackdawwind::standins
