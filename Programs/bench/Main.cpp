/// \file
/// The decision bench: runs a scenario and prints one line of JSON per run.
#include "Baselines.h"
#include "Simulation.h"

#include "LibConfiguration/Settings.h"
#include "LibCore/Error.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace dotterel::bench {

namespace {

auto run(int ArgumentCount, char **Arguments) -> void {
  auto commandLine = TCLAP::CmdLine("Decision bench", ' ', "0");
  auto path = TCLAP::ValueArg<std::string>("s", "scenario", "Scenario file",
                                           true, "", "file", commandLine);
  auto seed = TCLAP::ValueArg<std::uint64_t>("n", "seed", "Seed", false, 1,
                                             "number", commandLine);
  auto policy = TCLAP::ValueArg<std::string>("p", "policy", "Policy, or all",
                                             false, "own", "name", commandLine);
  commandLine.parse(ArgumentCount, Arguments);
  auto scenario = parseScenario(readFile(path.getValue()));
  for (auto name : policyNames()) {
    if (policy.getValue() != "all" && policy.getValue() != name)
      continue;
    auto simulation = Simulation(scenario, seed.getValue(), std::string(name));
    fmt::print("{}\n", simulation.run());
    std::fflush(stdout);
  }
  if (policy.getValue() != "all")
    (void)makeChooser(policy.getValue());
}

} // namespace

} // namespace dotterel::bench

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    dotterel::bench::run(ArgumentCount, Arguments);
  } catch (std::exception const &error) {
    fmt::print(stderr, "error: {}\n", error.what());
    return 2;
  }
  return 0;
}
