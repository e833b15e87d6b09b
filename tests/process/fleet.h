// A small fleet of real processes on loopback: log service, nodes and targets.
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
  /// Service of the target beside the node; empty for none.
  std::string service;
  /// Extra arguments of the target.
  std::vector<std::string> targetArguments{};
  /// Whether other nodes reach the node's call port through a relay.
  bool behindRelay = false;
};

class Fleet
{
public:
  Fleet();
  ~Fleet();

  void AddNode(const FleetNode& aNode);
  /// Nodes a1 (hires) and a2 (fuel) in one domain, b1 and b2 alike in another, serving; hires makes
  /// a child call to fuel. Other nodes reach a1's call port through a relay.
  void StartTwoDomains();
  /// Configuration folder for the nodes added so far: two organisations with a key each.
  std::map<std::string, std::string> BaseConfiguration() const;
  /// Runs "jackdawctl apply" on a folder with these files.
  /// Folders of applies that run side by side need different names.
  ProgramResult Apply(const std::map<std::string, std::string>& aFiles,
                      const std::string& aName = "configuration") const;
  /// Waits until every node is ready, sees every other node and every target, and has a steward.
  void WaitUntilServing();

  HttpAnswer Call(const std::string& aNode,
                  HttpRequest aRequest,
                  const std::string& aKey = "north") const;
  /// The secret key of an organisation: "north" or "south".
  std::string Key(const std::string& aOrganisation) const;
  std::string KeyHash(const std::string& aOrganisation) const;

  /// Executions that the targets of a service counted for a path and tag.
  int Executions(const std::string& aService,
                 const std::string& aPath,
                 const std::string& aTag) const;
  /// Executions of all paths at the target of a node, and its requests in progress.
  int ExecutionsAt(const std::string& aNode) const;
  int Running(const std::string& aNode) const;
  /// Revisions that the running nodes report.
  std::set<std::string> Revisions() const;
  /// Whether any target ever saw a tenant key.
  bool AnyTargetSawAKey() const;

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
  struct Member;

  std::string WriteSettings(const FleetNode& aNode,
                            std::uint16_t aCallPort,
                            std::uint16_t aAdvertised) const;
  Json::Value Counts(const std::string& aNode) const;
  bool EveryDomainHasASteward() const;
  bool EveryNodeServesACall() const;

  std::string folder;
  std::unique_ptr<ChildProcess> log;
  std::uint16_t logPort = 0;
  std::vector<std::string> seeds;
  std::map<std::string, std::unique_ptr<Member>> nodes;
  std::map<std::string, std::string> keys;
};

/// A look-up whose executions are counted under a tag.
HttpRequest Tagged(const std::string& aPath, const std::string& aTag);
/// A booking at fuel under an idempotency key.
HttpRequest Booking(const std::string& aTag, const std::string& aIdempotencyKey);

/// Waits until the condition holds; false after a time that only a broken system needs.
bool WaitFor(const std::function<bool()>& aCondition);

} // namespace jackdawwind::tests
