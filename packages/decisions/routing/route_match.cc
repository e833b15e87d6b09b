#include "decisions/routing/route_match.h"

namespace jackdawwind {

namespace {

bool
MatchesPath(const std::string& aPrefix, const std::string& aPath)
{
  if (!aPath.starts_with(aPrefix)) {
    return false;
  }
  return aPath.size() == aPrefix.size() || aPrefix.ends_with('/') || aPath[aPrefix.size()] == '/';
}

bool
MatchesMethod(const Route& aRoute, const std::string& aMethod)
{
  return aRoute.Method() == "*" || aRoute.Method() == aMethod;
}

/// Whether aRoute is more specific than aBest, which may be null.
bool
IsCloser(const Route& aRoute, const Route* aBest)
{
  if (aBest == nullptr || aRoute.Prefix().size() != aBest->Prefix().size()) {
    return aBest == nullptr || aRoute.Prefix().size() > aBest->Prefix().size();
  }
  return aBest->Method() == "*" && aRoute.Method() != "*";
}

} // namespace

RouteMatch
MatchRoute(const ControlState& aState,
           const std::string& aService,
           const std::string& aMethod,
           const std::string& aPath)
{
  const Service* service = aState.FindService(aService);
  if (service == nullptr) {
    return ResultCode::kUnknownService;
  }
  const Route* best = nullptr;
  for (const Route& route : service->Routes()) {
    const bool matches = MatchesMethod(route, aMethod) && MatchesPath(route.Prefix(), aPath);
    if (matches && IsCloser(route, best)) {
      best = &route;
    }
  }
  if (best == nullptr) {
    return ResultCode::kUnknownRoute;
  }
  return *best;
}

} // namespace jackdawwind
