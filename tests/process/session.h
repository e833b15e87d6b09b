// Scripted session of the whole system as separate processes, from configuration to drain.
#pragma once

#include <ostream>

namespace jackdawwind::tests {

/// Starts the processes, runs the session and writes a line for each step. The text is the same in
/// every run, since it contains no ports, keys or times.
void RunSession(std::ostream& aOut);

} // namespace jackdawwind::tests
