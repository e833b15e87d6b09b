#include "process/child_process.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jackdawwind::tests {

namespace {

struct Spawned
{
  pid_t pid = 0;
  /// Read end of the pipe from the process's standard output.
  int output = -1;
};

/// Starts the program after aActions, with the standard descriptors only: a child that inherits the
/// test's connections keeps them open after the test has closed them.
pid_t
SpawnWith(posix_spawn_file_actions_t& aActions,
          const std::string& aProgram,
          const std::vector<std::string>& aArguments)
{
  const std::string path = std::string(JACKDAW_BIN_DIR) + "/" + aProgram;
  std::vector<std::string> arguments = aArguments;
  arguments.insert(arguments.begin(), path);
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  posix_spawn_file_actions_addclosefrom_np(&aActions, STDERR_FILENO + 1);
  pid_t pid = 0;
  if (posix_spawn(&pid, path.c_str(), &aActions, nullptr, pointers.data(), environ) != 0) {
    std::perror(path.c_str());
    std::abort();
  }
  return pid;
}

Spawned
Spawn(const std::string& aProgram, const std::vector<std::string>& aArguments)
{
  std::array<int, 2> pipeEnds{};
  if (pipe(pipeEnds.data()) != 0) {
    std::perror("pipe");
    std::abort();
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipeEnds[1], STDOUT_FILENO);
  const pid_t pid = SpawnWith(actions, aProgram, aArguments);
  posix_spawn_file_actions_destroy(&actions);
  close(pipeEnds[1]);
  return { .pid = pid, .output = pipeEnds[0] };
}

} // namespace

ChildProcess::ChildProcess(const std::string& aProgram, const std::vector<std::string>& aArguments)
{
  const Spawned spawned = Spawn(aProgram, aArguments);
  this->pid = spawned.pid;
  this->output = spawned.output;
  this->firstLine = this->ReadLine();
}

ChildProcess::ChildProcess(const std::string& aProgram,
                           const std::vector<std::string>& aArguments,
                           const std::string& aOutputFile)
{
  constexpr mode_t kFileMode = 0644;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aOutputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, kFileMode);
  this->pid = SpawnWith(actions, aProgram, aArguments);
  posix_spawn_file_actions_destroy(&actions);
}

ChildProcess::~ChildProcess()
{
  if (!this->reaped) {
    kill(this->pid, SIGKILL);
    this->Wait();
  }
  if (this->output >= 0) {
    close(this->output);
  }
}

std::uint16_t
ChildProcess::Port(const std::string& aName) const
{
  std::string line = this->firstLine;
  std::replace(line.begin(), line.end(), '=', ' ');
  std::istringstream words(line);
  std::string word;
  while (words >> word) {
    if (word == aName && words >> word) {
      return static_cast<std::uint16_t>(std::atoi(word.c_str()));
    }
  }
  std::fprintf(
    stderr, "no port named \"%s\" in the first line: %s\n", aName.c_str(), this->firstLine.c_str());
  std::abort();
}

void
ChildProcess::Signal(int aSignal) const
{
  kill(this->pid, aSignal);
}

std::uint64_t
ChildProcess::PeakMemoryBytes() const
{
  constexpr std::uint64_t kBytesPerKilobyte = 1024;
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
  std::string name;
  std::uint64_t kilobytes = 0;
  while (file >> name) {
    if (name == "VmHWM:" && file >> kilobytes) {
      return kilobytes * kBytesPerKilobyte;
    }
  }
  return 0;
}

int
ChildProcess::Wait()
{
  if (!this->reaped) {
    waitpid(this->pid, &this->status, 0);
    this->reaped = true;
  }
  return WIFEXITED(this->status) ? WEXITSTATUS(this->status) : -1;
}

bool
ChildProcess::Ended()
{
  if (!this->reaped && waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
    this->reaped = true;
  }
  return this->reaped;
}

std::string
ChildProcess::ReadLine() const
{
  std::string line;
  char byte = 0;
  while (read(this->output, &byte, 1) == 1 && byte != '\n') {
    line.push_back(byte);
  }
  return line;
}

ProgramResult
RunProgram(const std::string& aProgram, const std::vector<std::string>& aArguments)
{
  const Spawned spawned = Spawn(aProgram, aArguments);
  ProgramResult result;
  std::array<char, 4096> block{};
  ssize_t size = 0;
  while ((size = read(spawned.output, block.data(), block.size())) > 0) {
    result.output.append(block.data(), static_cast<std::size_t>(size));
  }
  close(spawned.output);
  int status = 0;
  waitpid(spawned.pid, &status, 0);
  result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return result;
}

} // namespace jackdawwind::tests
