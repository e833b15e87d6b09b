// Program demo_session: runs a scripted session of the whole system and prints each step.
#include <iostream>

#include "process/session.h"

int
main()
{
  jackdawwind::tests::RunSession(std::cout);
  return 0;
}
