// One session of the whole system as separate processes, from configuration to drain.
#pragma once

#include <ostream>

namespace jackdawwind::tests {

/// Starts the processes, carries out the session and writes a line for each step; the same text in
/// every run, since ports, keys and times are left out.
void RunSession(std::ostream& aOut);

} // namespace jackdawwind::tests
