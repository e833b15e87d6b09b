// Small fleet of real processes on the loopback interface: log service, nodes and targets.
//
//   Fleet fleet;
//   fleet.AddNode({ .node = "a1", .domain = "ikeja", .region = "lagos", .service = "hires" });
//   fleet.Apply(fleet.BaseConfiguration());
//   fleet.WaitUntilServing();
//   HttpAnswer answer = fleet.Call("a1", { .path = "/hires/available" });
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

#include "process/child_process.h"
#include "process/http.h"

namespace jackdawwind::tests {

struct FleetNode
{
  std::string node;
  std::string domain;
  std::string region;
  /// Service of the node's target; empty for a node without a target.
  std::string service;
  /// Additional command-line arguments of the target.
  std::vector<std::string> targetArguments{};
  /// Whether a relay forwards other nodes' connections to the node's call port.
  bool behindRelay = false;
};

class Fleet
{
public:
  Fleet();
  ~Fleet();

  /// Starts a node with its target and relay; the nodes added before are its seeds.
  void AddNode(const FleetNode& aNode);
  /// Starts nodes a1 (hires) and a2 (fuel) in one domain and b1 (hires) and b2 (fuel) in another,
  /// and waits until they serve. Each request to hires makes a child call to fuel. Other nodes
  /// reach a1's call port through a relay.
  void StartTwoDomains();
  /// Files of a configuration folder for the nodes added so far, by name. Organisations north and
  /// south have a key each; organisation public has none.
  std::map<std::string, std::string> BaseConfiguration() const;
  /// Runs "jackdawctl apply" on a folder with these files. Concurrent calls need different names,
  /// since aName is the name of the folder.
  ProgramResult Apply(const std::map<std::string, std::string>& aFiles,
                      const std::string& aName = "configuration") const;
  /// Waits until every node serves calls and sees every node and every target as ready, and every
  /// domain has a steward. Aborts the program if that takes longer than WaitFor allows.
  void WaitUntilServing();

  HttpAnswer Call(const std::string& aNode,
                  HttpRequest aRequest,
                  const std::string& aKey = "north") const;
  /// Key of organisation "north" or "south".
  std::string Key(const std::string& aOrganisation) const;
  std::string KeyHash(const std::string& aOrganisation) const;

  /// Executions that the targets of a service counted for a path and tag.
  int Executions(const std::string& aService,
                 const std::string& aPath,
                 const std::string& aTag) const;
  /// Executions of all paths counted by the target of a node.
  int ExecutionsAt(const std::string& aNode) const;
  /// Requests in progress at the target of a node.
  int Running(const std::string& aNode) const;
  /// Distinct configuration revisions reported by the nodes.
  std::set<std::string> Revisions() const;
  /// Whether any target has received a request with a tenant key.
  bool AnyTargetReceivedKey() const;

  Json::Value Status(const std::string& aNode) const;
  std::uint16_t Port(const std::string& aNode, const std::string& aListener) const;
  ChildProcess& NodeProcess(const std::string& aNode);
  ChildProcess& TargetProcess(const std::string& aNode);
  void KillNode(const std::string& aNode);
  void SetLogFaults(const std::string& aJson) const;
  void SetTargetFaults(const std::string& aNode, const std::string& aJson) const;
  void SetRelay(const std::string& aNode, const std::string& aJson) const;
  void DrainTarget(const std::string& aNode) const;

private:
  struct NodeProcesses;

  std::string WriteSettings(const FleetNode& aNode,
                            std::uint16_t aCallPort,
                            std::uint16_t aAdvertised) const;
  Json::Value Counts(const std::string& aNode) const;
  bool EveryDomainHasSteward() const;
  bool EveryNodeServesCalls() const;

  std::string folder;
  std::unique_ptr<ChildProcess> log;
  std::uint16_t logPort = 0;
  std::vector<std::string> seeds;
  std::map<std::string, std::unique_ptr<NodeProcesses>> nodes;
  std::map<std::string, std::string> keys;
};

/// GET request whose executions are counted under a tag.
HttpRequest TaggedRequest(const std::string& aPath, const std::string& aTag);
/// Booking at service fuel, a non-idempotent POST, with an idempotency key.
HttpRequest BookingRequest(const std::string& aTag, const std::string& aIdempotencyKey);

/// Polls until the condition holds; false after 60 s, far longer than a working system needs.
bool WaitFor(const std::function<bool()>& aCondition);

} // namespace jackdawwind::tests
