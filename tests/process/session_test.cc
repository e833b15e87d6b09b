// Guards against unintended changes in the answers and executions of a scripted session.
#include "process/session.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace jackdawwind::tests {
namespace {

TEST(ProcessSession, MatchesGoldenFile)
{
  const std::string path = std::string(JACKDAW_GOLDEN_DIR) + "/process_session.txt";
  std::ostringstream transcript;
  RunSession(transcript);
  if (std::getenv("JACKDAW_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << transcript.str();
  }
  std::ostringstream golden;
  golden << std::ifstream(path).rdbuf();
  EXPECT_EQ(transcript.str(), golden.str());
}

} // namespace
} // namespace jackdawwind::tests
