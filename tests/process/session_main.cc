// Program demo_session: runs one session of the whole system and prints what happened.
#include <iostream>

#include "process/session.h"

int
main()
{
  jackdawwind::tests::RunSession(std::cout);
  return 0;
}
