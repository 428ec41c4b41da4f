#include "Baselines.h"

#include "LibControl/State.h"
#include "LibCore/Error.h"
#include "LibCore/Hash.h"

#include <array>
#include <string>

namespace dotterel::bench {

namespace {

/// Each instance uses the engines in turn.
class RoundRobin final : public EngineChooser {
public:
  [[nodiscard]] auto choose(State const & /*CurrentState*/, CallId Call,
                            std::span<EngineId const> Eligible) const
      -> std::size_t override {
    return Call % Eligible.size();
  }
};

/// Chooses the engine with the fewest calls of this instance in flight.
class LeastOutstanding final : public EngineChooser {
public:
  [[nodiscard]] auto choose(State const &CurrentState, CallId Call,
                            std::span<EngineId const> Eligible) const
      -> std::size_t override {
    auto best = Call % Eligible.size();
    for (auto n = std::size_t{0}; n < Eligible.size(); ++n)
      if (calls(CurrentState, Eligible[n]) <
          calls(CurrentState, Eligible[best]))
        best = n;
    return best;
  }

private:
  static auto calls(State const &CurrentState, EngineId const &Engine)
      -> std::uint32_t {
    return CurrentState.Backends.Engines.at(Engine).CallsInFlight;
  }
};

/// Chooses the engine whose last report shows the least load: running requests
/// plus one for each 1000 tokens of queued prefill.
class LeastReported final : public EngineChooser {
public:
  [[nodiscard]] auto choose(State const &CurrentState, CallId /*Call*/,
                            std::span<EngineId const> Eligible) const
      -> std::size_t override {
    auto best = std::size_t{0};
    for (auto n = std::size_t{0}; n < Eligible.size(); ++n)
      if (running(CurrentState, Eligible[n]) <
          running(CurrentState, Eligible[best]))
        best = n;
    return best;
  }

private:
  static auto running(State const &CurrentState, EngineId const &Engine)
      -> std::uint64_t {
    auto const &report = *CurrentState.Backends.Engines.at(Engine).Report;
    return report.Running + report.QueuedPrefillTokens / 1000;
  }
};

/// Chooses the engine by rendezvous hashing of the first block of the prompt.
class PrefixHash final : public EngineChooser {
public:
  [[nodiscard]] auto choose(State const &CurrentState, CallId Call,
                            std::span<EngineId const> Eligible) const
      -> std::size_t override {
    auto const &hashes = CurrentState.Calls.Calls.at(Call).Request.PrefixHashes;
    auto key = hashes.empty() ? Call : hashes.front();
    auto best = std::size_t{0};
    for (auto n = std::size_t{0}; n < Eligible.size(); ++n)
      if (rendezvousScore(key, Eligible[n].text()) >
          rendezvousScore(key, Eligible[best].text()))
        best = n;
    return best;
  }
};

} // namespace

auto policyNames() -> std::vector<std::string_view> {
  return {"own", "round-robin", "least-outstanding", "least-reported",
          "prefix-hash"};
}

auto makeChooser(std::string_view Policy)
    -> std::shared_ptr<EngineChooser const> {
  if (Policy == "own")
    return nullptr;
  if (Policy == "round-robin")
    return std::make_shared<RoundRobin>();
  if (Policy == "least-outstanding")
    return std::make_shared<LeastOutstanding>();
  if (Policy == "least-reported")
    return std::make_shared<LeastReported>();
  if (Policy == "prefix-hash")
    return std::make_shared<PrefixHash>();
  throw Error(ResultCode::InvalidUsage,
              "unknown policy '" + std::string(Policy) + "'");
}

} // namespace dotterel::bench
