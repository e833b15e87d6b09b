// Blocking HTTP/1.1 client for tests of whole processes.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace jackdawwind::tests {

struct HttpRequest
{
  std::string method = "GET";
  std::string path = "/";
  std::map<std::string, std::string> headers{};
  std::string body{};
};

struct HttpAnswer
{
  /// 0 when the connection broke before a whole answer.
  unsigned status = 0;
  std::map<std::string, std::string> headers{};
  std::string body{};

  /// Number of X-Jackdaw-Result; 0 when there is none.
  int Result() const;
  /// Text of X-Jackdaw-Run; empty when there is none.
  std::string Run() const;
};

/// Sends one request on a connection of its own to 127.0.0.1; waits 20 s for the answer at most.
HttpAnswer Send(std::uint16_t aPort, const HttpRequest& aRequest);

/// Sends bytes as they are to 127.0.0.1 and reads one answer.
HttpAnswer SendRaw(std::uint16_t aPort, const std::string& aBytes);

/// One connection that stays open between requests.
class HttpConnection
{
public:
  /// aPatience: longest wait for a connection, for a write and for an answer.
  explicit HttpConnection(std::uint16_t aPort,
                          std::chrono::milliseconds aPatience = std::chrono::seconds(20));
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  HttpAnswer Send(const HttpRequest& aRequest);
  bool IsOpen() const;
  HttpAnswer SendRaw(const std::string& aBytes);

private:
  HttpAnswer ReadAnswer();

  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace jackdawwind::tests
