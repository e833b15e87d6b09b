// Finds the kind of a call from its method and path.
#pragma once

#include <string>
#include <variant>

#include "decisions/config/control_state.h"

namespace jackdawwind {

/// The route of a call, or why there is none (unknown service, unknown route).
using Classification = std::variant<Route, ResultCode>;

/// The longest matching prefix wins; a prefix matches whole path segments ("/book" matches "/book"
/// and
/// "/book/7" but not "/booking"); an exact method goes before "*".
Classification Classify(const ControlState& aState,
                        const std::string& aService,
                        const std::string& aMethod,
                        const std::string& aPath);

} // namespace jackdawwind
