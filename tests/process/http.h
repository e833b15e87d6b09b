// Blocking HTTP/1.1 client for multi-process tests.
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
  /// 0 if the connection failed before a complete answer.
  unsigned status = 0;
  /// Keyed by the name in lower case.
  std::map<std::string, std::string> headers{};
  std::string body{};

  /// Value of X-Jackdaw-Result; 0 if the header is absent.
  int ResultCode() const;
  /// RunState state from X-Jackdaw-Run; empty if the header is absent.
  std::string RunState() const;
};

/// Sends one request to 127.0.0.1 on a new connection; each step has a timeout of 20 s.
HttpAnswer Send(std::uint16_t aPort, const HttpRequest& aRequest);

/// Sends raw bytes to 127.0.0.1 on a new connection and reads one answer.
HttpAnswer SendRaw(std::uint16_t aPort, const std::string& aBytes);

/// Keep-alive connection to 127.0.0.1.
class HttpConnection
{
public:
  /// Connects; aTimeout applies separately to connecting, to each write and to each answer.
  explicit HttpConnection(std::uint16_t aPort,
                          std::chrono::milliseconds aTimeout = std::chrono::seconds(20));
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
