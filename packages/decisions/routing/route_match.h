// Matches the method and path of a call to a route of its service.
#pragma once

#include <string>
#include <variant>

#include "decisions/config/control_state.h"

namespace jackdawwind {

/// The matching route, or kUnknownService or kUnknownRoute.
using RouteMatch = std::variant<Route, ResultCode>;

/// The longest matching prefix wins; among equal prefixes an exact method takes precedence over
/// "*". A prefix matches whole path segments: "/book" matches "/book" and "/book/7" but not
/// "/booking".
RouteMatch MatchRoute(const ControlState& aState,
                      const std::string& aService,
                      const std::string& aMethod,
                      const std::string& aPath);

} // namespace jackdawwind
