// Each organisation's rate and burst over the whole fleet, without a coordinator.
//
//   RateVerdict verdict = limiter.Request(exchange, "north-farm", now, effects);
//   for (const RateDecision& decision : limiter.TakeDecisions()) { ... }   // of waiting calls
//
// Tokens are moved, never copied. A node draws tokens from the steward of its domain, the steward
// borrows from other domains. The class is node and, when elected, steward.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "decisions/config/control_state.h"
#include "decisions/effects.h"
#include "util/clock.h"
#include "util/random.h"
#include "values/generated/calls.h"

namespace jackdawwind {

enum class RateVerdict
{
  kTaken,   ///< A token was taken; the call may go on.
  kWaiting, ///< A decision follows within 60 ms.
  kRefused, ///< No token and none to be had.
};

/// Decision on a call that waited.
struct RateDecision
{
  std::uint64_t exchange = 0;
  bool taken = false;
  friend bool operator==(const RateDecision&, const RateDecision&) = default;
};

class RateLimiter
{
public:
  struct Options
  {
    PeerAddress self;
    std::string domain;
    std::string region;
    std::uint64_t incarnation = 0;
  };

  RateLimiter(Options aOptions, std::uint64_t aSeed);

  /// Takes over organisations, domains and shares of a new configuration.
  void Configure(const ControlState& aState, Time aNow);
  /// Members whenever they change; candidates are live members of the own domain.
  void SetMembers(const std::map<std::string, Member>& aMembers, Time aNow);

  RateVerdict Request(std::uint64_t aExchange,
                      const std::string& aOrganisation,
                      Time aNow,
                      Effects& aEffects);
  /// The caller of a waiting call has gone.
  void Abandon(std::uint64_t aExchange);
  /// Decisions made since the last call.
  std::vector<RateDecision> TakeDecisions();

  void Receive(const StewardReport& aReport, Time aNow, Effects& aEffects);
  void Receive(const StewardGrant& aGrant, Time aNow, Effects& aEffects);
  /// Gives up the lease before a graceful shutdown.
  void Leave(Time aNow, Effects& aEffects);

  void Poll(Time aNow, Effects& aEffects);
  Time NextWake() const;

  /// Node that this node reports to; empty for none.
  std::string Steward() const;
  bool Elected() const;
  std::vector<TokenStatus> Status(Time aNow) const;

private:
  Options options;
  Random random;
};

} // namespace jackdawwind
