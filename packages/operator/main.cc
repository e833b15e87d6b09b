// Program jackdawctl: command-line tool for operators of a fleet.
#include <iostream>
#include <string>
#include <vector>

#include "operator/command_line.h"

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return static_cast<int>(jackdawwind::control::RunCommand(
    jackdawwind::control::ParseCommandLine(arguments), std::cout, std::cerr));
}
