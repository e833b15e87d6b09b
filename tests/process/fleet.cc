#include "process/fleet.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <json/reader.h>
#include <unistd.h>

#include "wire/crypto.h"

namespace jackdawwind::tests {

namespace {

constexpr const char* kAdminToken = "test-admin-token";
constexpr std::chrono::milliseconds kPollInterval{ 50 };
/// Far longer than a working system needs, so that a slow machine does not fail a test.
constexpr std::chrono::seconds kWaitForTimeout{ 60 };

std::uint16_t
FreePort()
{
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor acceptor(
    io, boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

Json::Value
ParseJson(const std::string& aText)
{
  Json::Value json;
  std::istringstream stream(aText);
  std::string errors;
  Json::parseFromStream(Json::CharReaderBuilder(), stream, &json, &errors);
  return json;
}

HttpAnswer
PutJson(std::uint16_t aPort, const std::string& aPath, const std::string& aJson)
{
  HttpAnswer answer = Send(aPort, { .method = "PUT", .path = aPath, .body = aJson });
  if (answer.status != 200 && answer.status != 204) {
    std::cerr << "PUT " << aPath << " answered " << answer.status << ": " << answer.body << '\n';
    std::abort();
  }
  return answer;
}

} // namespace

/// A node with its target and its relay.
struct Fleet::NodeProcesses
{
  FleetNode spec;
  std::unique_ptr<ChildProcess> relay;
  std::unique_ptr<ChildProcess> process;
  std::unique_ptr<ChildProcess> target;
  std::uint16_t targetPort = 0;
  std::uint16_t relayControl = 0;
};

Fleet::Fleet()
{
  std::string pattern = (std::filesystem::temp_directory_path() / "jackdawwind-XXXXXX").string();
  this->folder = mkdtemp(pattern.data());
  this->log = std::make_unique<ChildProcess>("standin_log", std::vector<std::string>{});
  this->logPort = this->log->Port("listening");
  for (const char* organisation : { "north", "south" }) {
    this->keys[organisation] = wire::RandomKey();
  }
}

Fleet::~Fleet()
{
  this->nodes.clear();
  std::filesystem::remove_all(this->folder);
}

void
Fleet::AddNode(const FleetNode& aNode)
{
  std::unique_ptr<NodeProcesses> processes = std::make_unique<NodeProcesses>();
  processes->spec = aNode;
  std::uint16_t callPort = 0;
  std::uint16_t advertised = 0;
  if (aNode.behindRelay) {
    callPort = FreePort();
    processes->relay = std::make_unique<ChildProcess>(
      "standin_relay", std::vector<std::string>{ "--to-port", std::to_string(callPort) });
    advertised = processes->relay->Port("listening");
    processes->relayControl = processes->relay->Port("control");
  }
  const std::string settings = this->WriteSettings(aNode, callPort, advertised);
  processes->process = std::make_unique<ChildProcess>(
    "jackdawwind", std::vector<std::string>{ "--settings", settings });
  if (!aNode.service.empty()) {
    std::vector<std::string> arguments{
      "--service", aNode.service, "--node-port", std::to_string(processes->process->Port("target"))
    };
    arguments.insert(arguments.end(), aNode.targetArguments.begin(), aNode.targetArguments.end());
    processes->target = std::make_unique<ChildProcess>("standin_target", arguments);
    processes->targetPort = processes->target->Port("listening");
  }
  const std::uint16_t control = processes->process->Port("peer_control");
  const std::uint16_t calls = advertised == 0 ? processes->process->Port("peer_calls") : advertised;
  this->seeds.push_back("{node: " + aNode.node + ", host: 127.0.0.1, call_port: " +
                        std::to_string(calls) + ", control_port: " + std::to_string(control) + "}");
  this->nodes[aNode.node] = std::move(processes);
}

void
Fleet::StartTwoDomains()
{
  const std::vector<std::string> child{ "--child-path", "/fuel/levels" };
  this->AddNode({ "a1", "ikeja", "lagos", "hires", child, true });
  this->AddNode({ "a2", "ikeja", "lagos", "fuel" });
  this->AddNode({ "b1", "sharada", "kano", "hires", child });
  this->AddNode({ "b2", "sharada", "kano", "fuel" });
  const ProgramResult applied = this->Apply(this->BaseConfiguration());
  if (applied.status != 0) {
    std::cerr << "jackdawctl apply: " << applied.output << '\n';
    std::abort();
  }
  this->WaitUntilServing();
}

std::string
Fleet::WriteSettings(const FleetNode& aNode,
                     std::uint16_t aCallPort,
                     std::uint16_t aAdvertised) const
{
  std::string path = this->folder + "/" + aNode.node + ".yaml";
  std::ofstream file(path);
  file << "node: " << aNode.node << "\ndomain: " << aNode.domain << "\nregion: " << aNode.region
       << "\ncallers: {port: 0}\ntarget: {port: 0}\npeer_calls: {port: " << aCallPort
       << "}\nadvertise_call_port: " << aAdvertised
       << "\npeer_control: {port: 0}\nadmin: {port: 0}\n"
       << "admin_token: " << kAdminToken << "\nfleet_secret: test-fleet-secret\n"
       << "log: {host: 127.0.0.1, port: " << this->logPort << ", timeout_ms: 1000}\n"
       << "drain_delay_ms: 2000\ndrain_timeout_ms: 20000\nlog_level: info\nseeds: [";
  const char* separator = "";
  for (const std::string& seed : this->seeds) {
    file << separator << seed;
    separator = ", ";
  }
  file << "]\n";
  return path;
}

std::map<std::string, std::string>
Fleet::BaseConfiguration() const
{
  std::map<std::string, std::set<std::string>> hosts;
  std::map<std::string, std::string> regions;
  std::set<std::string> services;
  for (const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& entry : this->nodes) {
    const FleetNode& node = entry.second->spec;
    hosts[node.domain].insert(node.node);
    regions[node.domain] = node.region;
    services.insert(node.service);
  }
  services.erase("");
  std::ostringstream domainsFile;
  domainsFile << "domains:\n";
  for (const std::pair<const std::string, std::set<std::string>>& domain : hosts) {
    domainsFile << "  - {name: " << domain.first << ", region: " << regions[domain.first]
                << ", hosts: " << domain.second.size()
                << ", share: " << 1.0 / static_cast<double>(hosts.size()) << "}\n";
  }
  std::ostringstream servicesFile;
  servicesFile << "services:\n";
  for (const std::string& service : services) {
    servicesFile
      << "  - name: " << service << "\n    slots: 60\n    connections: 450\n    routes:\n"
      << "      - {method: GET, prefix: /, importance: normal, idempotent: true, "
         "attempt_timeout_ms: 8000}\n"
      << "      - {method: GET, prefix: /open, importance: bulk, idempotent: true, open: true}\n"
      << "      - {method: POST, prefix: /book, importance: critical, idempotent: false, "
         "attempt_timeout_ms: 8000}\n";
  }
  std::ostringstream organisationsFile;
  organisationsFile << "organisations:\n";
  for (const char* organisation : { "north", "south", "public" }) {
    organisationsFile << "  - {name: " << organisation << ", rate: 1000, burst: 1000}\n";
  }
  std::ostringstream keysFile;
  keysFile << "keys:\n";
  for (const std::pair<const std::string, std::string>& key : this->keys) {
    keysFile << "  - {hash: \"" << wire::HashHex(key.second) << "\", organisation: " << key.first
             << "}\n";
  }
  return { { "10-domains.yaml", domainsFile.str() },
           { "20-services.yaml", servicesFile.str() },
           { "30-organisations.yaml", organisationsFile.str() },
           { "40-keys.yaml", keysFile.str() } };
}

ProgramResult
Fleet::Apply(const std::map<std::string, std::string>& aFiles, const std::string& aName) const
{
  const std::string path = this->folder + "/" + aName;
  std::filesystem::remove_all(path);
  std::filesystem::create_directory(path);
  for (const std::pair<const std::string, std::string>& file : aFiles) {
    std::ofstream(path + "/" + file.first) << file.second;
  }
  return RunProgram(
    "jackdawctl",
    { "apply", path, "--log", "127.0.0.1:" + std::to_string(this->logPort), "--json" });
}

void
Fleet::WaitUntilServing()
{
  const std::size_t targets = static_cast<std::size_t>(
    std::count_if(this->nodes.begin(),
                  this->nodes.end(),
                  [](const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& aEntry) {
                    return aEntry.second->target != nullptr;
                  }));
  const bool serving = WaitFor([this, targets] {
    for (const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& entry : this->nodes) {
      const Json::Value status = this->Status(entry.first);
      std::size_t ready = 0;
      for (const Json::Value& member : status["members"]) {
        ready += member["target_state"].asString() == "ready" ? 1 : 0;
      }
      if (status["phase"].asString() != "serving" || ready < targets ||
          status["members"].size() < this->nodes.size()) {
        return false;
      }
    }
    return this->EveryDomainHasSteward() && this->EveryNodeServesCalls();
  });
  if (!serving) {
    for (const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& entry : this->nodes) {
      std::cerr << entry.first << ": " << this->Status(entry.first).toStyledString() << '\n';
    }
    std::cerr << "the fleet did not become ready: not all nodes serve calls\n";
    std::abort();
  }
}

bool
Fleet::EveryDomainHasSteward() const
{
  std::set<std::string> domains;
  std::set<std::string> domainsWithSteward;
  for (const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& entry : this->nodes) {
    domains.insert(entry.second->spec.domain);
    if (this->Status(entry.first)["elected"].asBool()) {
      domainsWithSteward.insert(entry.second->spec.domain);
    }
  }
  return domains == domainsWithSteward;
}

bool
Fleet::EveryNodeServesCalls() const
{
  // A steward grants no tokens during the first seconds after it receives its configuration.
  return std::all_of(
    this->nodes.begin(),
    this->nodes.end(),
    [this](const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& aEntry) {
      const std::string& service = this->nodes.begin()->second->spec.service;
      return this->Call(aEntry.first, { .path = "/" + service + "/warm-up" }).status == 200;
    });
}

HttpAnswer
Fleet::Call(const std::string& aNode, HttpRequest aRequest, const std::string& aKey) const
{
  if (!aKey.empty()) {
    aRequest.headers["X-Tenant-Key"] = this->Key(aKey);
  }
  return Send(this->Port(aNode, "callers"), aRequest);
}

std::string
Fleet::Key(const std::string& aOrganisation) const
{
  return this->keys.at(aOrganisation);
}

std::string
Fleet::KeyHash(const std::string& aOrganisation) const
{
  return wire::HashHex(this->Key(aOrganisation));
}

int
Fleet::Executions(const std::string& aService,
                  const std::string& aPath,
                  const std::string& aTag) const
{
  int total = 0;
  for (const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& entry : this->nodes) {
    if (entry.second->spec.service != aService || entry.second->target == nullptr) {
      continue;
    }
    const Json::Value counts =
      ParseJson(Send(entry.second->targetPort, { .path = "/counts" }).body);
    for (const Json::Value& execution : counts["executions"]) {
      if (execution["path"].asString() == aPath && execution["tag"].asString() == aTag) {
        total += execution["count"].asInt();
      }
    }
  }
  return total;
}

int
Fleet::ExecutionsAt(const std::string& aNode) const
{
  int total = 0;
  for (const Json::Value& execution : this->Counts(aNode)["executions"]) {
    total += execution["count"].asInt();
  }
  return total;
}

int
Fleet::Running(const std::string& aNode) const
{
  return this->Counts(aNode)["running"].asInt();
}

Json::Value
Fleet::Counts(const std::string& aNode) const
{
  return ParseJson(Send(this->nodes.at(aNode)->targetPort, { .path = "/counts" }).body);
}

std::set<std::string>
Fleet::Revisions() const
{
  std::set<std::string> revisions;
  for (const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& entry : this->nodes) {
    revisions.insert(this->Status(entry.first)["revision"].asString());
  }
  return revisions;
}

bool
Fleet::AnyTargetReceivedKey() const
{
  return std::any_of(
    this->nodes.begin(),
    this->nodes.end(),
    [](const std::pair<const std::string, std::unique_ptr<NodeProcesses>>& aEntry) {
      return aEntry.second->target != nullptr &&
             ParseJson(Send(aEntry.second->targetPort, { .path = "/counts" }).body)["saw_key"]
               .asBool();
    });
}

Json::Value
Fleet::Status(const std::string& aNode) const
{
  return ParseJson(
    Send(this->Port(aNode, "admin"),
         { .path = "/status",
           .headers = { { "Authorization", std::string("Bearer ") + kAdminToken } } })
      .body);
}

std::uint16_t
Fleet::Port(const std::string& aNode, const std::string& aListener) const
{
  return this->nodes.at(aNode)->process->Port(aListener);
}

ChildProcess&
Fleet::NodeProcess(const std::string& aNode)
{
  return *this->nodes.at(aNode)->process;
}

ChildProcess&
Fleet::TargetProcess(const std::string& aNode)
{
  return *this->nodes.at(aNode)->target;
}

void
Fleet::KillNode(const std::string& aNode)
{
  this->nodes.at(aNode)->process->Signal(SIGKILL);
  this->nodes.at(aNode)->process->Wait();
}

void
Fleet::SetLogFaults(const std::string& aJson) const
{
  PutJson(this->logPort, "/faults", aJson);
}

void
Fleet::SetTargetFaults(const std::string& aNode, const std::string& aJson) const
{
  PutJson(this->nodes.at(aNode)->targetPort, "/faults", aJson);
}

void
Fleet::SetRelay(const std::string& aNode, const std::string& aJson) const
{
  PutJson(this->nodes.at(aNode)->relayControl, "/control", aJson);
}

void
Fleet::DrainTarget(const std::string& aNode) const
{
  Send(this->nodes.at(aNode)->targetPort, { .method = "POST", .path = "/drain" });
}

HttpRequest
TaggedRequest(const std::string& aPath, const std::string& aTag)
{
  return { .path = aPath, .headers = { { "X-Request-Tag", aTag } } };
}

HttpRequest
BookingRequest(const std::string& aTag, const std::string& aIdempotencyKey)
{
  return { .method = "POST",
           .path = "/fuel/book",
           .headers = { { "X-Request-Tag", aTag }, { "Idempotency-Key", aIdempotencyKey } },
           .body = "one dryer" };
}

bool
WaitFor(const std::function<bool()>& aCondition)
{
  const std::chrono::steady_clock::time_point end =
    std::chrono::steady_clock::now() + kWaitForTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

} // namespace jackdawwind::tests
