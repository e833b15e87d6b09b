// Program standin_relay: a TCP relay with fault injection, controlled by PUT /control
// (RelayControl).
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <cxxopts.hpp>

#include "standins/common/http_server.h"
#include "standins/common/program.h"
#include "standins/relay/relay.h"
#include "wire/codec.h"
#include "wire/generated/standins_codec.h"

namespace jackdawwind::standins {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;

void
OnControl(Relay& aRelay, const std::shared_ptr<ServedRequest>& aRequest)
{
  const wire::Decoded<RelayControl> control =
    wire::DecodeText<RelayControl>(aRequest->Message().body());
  if (std::holds_alternative<wire::DecodeError>(control)) {
    aRequest->Answer(kBadRequest, "{}");
    return;
  }
  aRelay.Control(std::get<RelayControl>(control));
  aRequest->Answer(kOk, "{}");
}

int
Run(int aCount, char** aArguments)
{
  cxxopts::Options options("standin_relay", "TCP relay with fault injection, for tests");
  cxxopts::OptionAdder add = options.add_options();
  add("port",
      "TCP port; 0 selects an ephemeral port",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add("control-port",
      "port of the control API; 0 selects an ephemeral port",
      cxxopts::value<std::uint16_t>()->default_value("0"));
  add(
    "to-host", "IP address to relay to", cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("to-port", "port to relay to", cxxopts::value<std::uint16_t>());
  const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
  boost::asio::io_context context;
  const boost::asio::ip::tcp::endpoint destination(
    boost::asio::ip::make_address(parsed["to-host"].as<std::string>()),
    parsed["to-port"].as<std::uint16_t>());
  const boost::asio::ip::tcp::endpoint listen(boost::asio::ip::address_v4::loopback(),
                                              parsed["port"].as<std::uint16_t>());
  Relay relay(context, listen, destination);
  const HttpServer control(
    context,
    parsed["control-port"].as<std::uint16_t>(),
    [&relay](const std::shared_ptr<ServedRequest>& aRequest) { OnControl(relay, aRequest); });
  std::cout << "listening " << relay.Port() << " control " << control.Port() << std::endl;
  RunUntilSignal(context);
  return EXIT_SUCCESS;
}

} // namespace

} // namespace jackdawwind::standins

int
main(int aCount, char** aArguments)
{
  return jackdawwind::standins::RunProgram("standin_relay", [aCount, aArguments] {
    return jackdawwind::standins::Run(aCount, aArguments);
  });
}
