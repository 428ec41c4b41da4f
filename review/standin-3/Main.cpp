// Runs one case: standin-3 CASE FOLDER RECORD.
#include "Cases.h"

#include <cstdio>
#include <exception>
#include <map>
#include <unistd.h>

auto main(int Count, char **Arguments) -> int {
  using Case = int (*)(std::string const &, std::string const &);
  auto const cases =
      std::map<std::string, Case>{{"drain", review::runDrain},
                                  {"misroute", review::runMisroute},
                                  {"coding", review::runCoding},
                                  {"trailers", review::runTrailers}};
  constexpr auto CannotRun = 2;
  if (Count != 4 || !cases.contains(Arguments[1]))
    return CannotRun;
  auto result = CannotRun;
  try {
    result = cases.at(Arguments[1])(Arguments[2], Arguments[3]);
  } catch (std::exception const &error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  // Threads of stand-ins still run.
  ::_exit(result);
}
