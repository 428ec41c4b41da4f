#include "Baselines.h"

#include "LibControl/State.h"
#include "LibCore/Error.h"
#include "LibCore/Hash.h"

#include <array>
#include <string>

namespace dotterel::bench {

namespace {

/// Each instance takes the engines in turn.
class RoundRobin final : public EngineChooser {
public:
  [[nodiscard]] auto choose(State const & /*Subject*/, CallId Call,
                            std::span<EngineId const> Eligible) const
      -> std::size_t override {
    return Call % Eligible.size();
  }
};

/// The engine with the fewest calls of this instance.
class LeastOutstanding final : public EngineChooser {
public:
  [[nodiscard]] auto choose(State const &Subject, CallId Call,
                            std::span<EngineId const> Eligible) const
      -> std::size_t override {
    auto best = Call % Eligible.size();
    for (auto n = std::size_t{0}; n < Eligible.size(); ++n)
      if (calls(Subject, Eligible[n]) < calls(Subject, Eligible[best]))
        best = n;
    return best;
  }

private:
  static auto calls(State const &Subject, EngineId const &Engine)
      -> std::uint32_t {
    return Subject.Backends.Engines.at(Engine).CallsInFlight;
  }
};

/// The engine whose last report shows the fewest requests.
class LeastReported final : public EngineChooser {
public:
  [[nodiscard]] auto choose(State const &Subject, CallId /*Call*/,
                            std::span<EngineId const> Eligible) const
      -> std::size_t override {
    auto best = std::size_t{0};
    for (auto n = std::size_t{0}; n < Eligible.size(); ++n)
      if (running(Subject, Eligible[n]) < running(Subject, Eligible[best]))
        best = n;
    return best;
  }

private:
  static auto running(State const &Subject, EngineId const &Engine)
      -> std::uint64_t {
    auto const &report = *Subject.Backends.Engines.at(Engine).Report;
    return report.Running + report.QueuedPrefillTokens / 1000;
  }
};

/// Always the same engine for the same prompt prefix.
class PrefixHash final : public EngineChooser {
public:
  [[nodiscard]] auto choose(State const &Subject, CallId Call,
                            std::span<EngineId const> Eligible) const
      -> std::size_t override {
    auto const &hashes = Subject.Calls.Calls.at(Call).Request.PrefixHashes;
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
