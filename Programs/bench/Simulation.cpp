#include "Simulation.h"

#include "Baselines.h"

#include "LibCore/Hash.h"
#include "LibTest/Percentile.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

namespace dotterel::bench {

namespace {

using nlohmann::json;

constexpr auto TickInterval = Duration{50ms};
constexpr auto NetworkDelay = Duration{1ms};
constexpr auto WarmUp = Duration{3s};
constexpr auto Drain = Duration{60s};
constexpr auto TokensPerPiece = 2000;

auto engineName(int Number) -> std::string {
  return fmt::format("e{}", Number);
}

auto engineNumber(EngineId const &Id) -> int {
  return std::stoi(Id.text().substr(1));
}

auto residentKilobytes() -> long {
  auto usage = rusage{};
  ::getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

auto isGood(Trace const &Shown) -> bool {
  return Shown.Result == Outcome::Completed &&
         Shown.Finished <= Shown.Deadline &&
         Shown.Tokens == Shown.Request.MaximumTokens;
}

} // namespace

/// Carries out effects of one instance.
struct Simulation::Carrier {
  Simulation &Bench; // NOLINT
  int Instance;

  auto answer(Duration After, EventBody const &Happened) const -> void {
    Bench.Plan.schedule(After, [&bench = Bench, n = Instance, Happened] {
      bench.feed(n, Happened);
    });
  }

  auto operator()(ConnectAttempt const &What) const -> void {
    auto const &calls = Bench.Nodes[Instance]->Current.Calls.Calls;
    auto engine = engineNumber(calls.at(What.Attempt.Call).Current->Engine);
    if (Bench.Engines[engine].IsDown)
      return answer(NetworkDelay, AttemptUnreachable{What.Attempt});
    answer(NetworkDelay, AttemptConnected{What.Attempt});
  }

  auto operator()(SendAttempt const &What) const -> void {
    Bench.submit(Instance, What);
  }

  auto operator()(CancelAttempt const &What) const -> void {
    for (auto &it : Bench.Engines)
      it.cancel({Instance, What.Attempt});
  }

  auto operator()(ForwardToken const &What) const -> void {
    auto &trace = Bench.Traces[Bench.Nodes[Instance]->Traces.at(What.Call)];
    auto now = Bench.Plan.now();
    if (++trace.Tokens == 1)
      Bench.FirstTokenSeconds.push_back(toSeconds(now - trace.Arrived));
    else
      Bench.BetweenTokensSeconds.push_back(toSeconds(now - trace.LastToken));
    trace.LastToken = now;
  }

  auto operator()(FinishCall const &What) const -> void {
    auto &trace = Bench.Traces[Bench.Nodes[Instance]->Traces.at(What.Call)];
    if (trace.Finished != Instant{})
      ++Bench.Violations;
    trace.Finished = Bench.Plan.now();
    trace.Result = What.Response.Result;
    trace.Code = What.Response.Code;
    auto isWhole = trace.Tokens == trace.Request.MaximumTokens;
    if (trace.Result == Outcome::Completed && !isWhole)
      ++Bench.Violations;
  }

  auto operator()(PollEngine const &What) const -> void {
    auto const &engine = Bench.Engines[engineNumber(What.Engine)];
    auto isLost = std::uniform_real_distribution<double>{}(Bench.Random) <
                  Bench.Given.ReportLossRate;
    if (engine.IsDown || isLost)
      return answer(1s, EngineUnreachable{What.Engine});
    answer(Bench.Given.ReportLag + NetworkDelay,
           EngineReported{What.Engine, engine.report(), Bench.Plan.now()});
  }

  auto operator()(ReadShard const &What) const -> void {
    // Nothing is ordered in these scenarios.
    answer(NetworkDelay, ShardReadFailed{What.Shard});
  }

  auto operator()(ListInstances const & /*What*/) const -> void {
    answer(NetworkDelay, InstancesListed{});
  }

  auto operator()(WatchConfiguration const & /*What*/) const -> void {
    answer(5s, ConfigurationWatchEnded{true});
  }

  auto operator()(CountOne const &What) const -> void {
    if (What.Metric == CountMetric::Retries)
      ++Bench.Retries;
  }

  template <typename Other>
  auto operator()(Other const & /*What*/) const -> void {}
};

Simulation::Simulation(Scenario Given, std::uint64_t Seed, std::string Policy)
    : Given(std::move(Given)), Seed(Seed), Policy(std::move(Policy)),
      Random(Seed), Start(Instant{} + 1h), Plan(Start) {
  for (auto n = 0; n < this->Given.Engines.Count; ++n)
    Engines.emplace_back(this->Given.Engines, Random() | 1U);
  makeNodes();
  makeArrivals();
  for (auto const &it : this->Given.Faults)
    Plan.schedule(WarmUp + it.At, [this, it] { strike(it); });
}

auto Simulation::configurationText() const -> std::string {
  auto engines = json::array();
  for (auto n = 0; n < Given.Engines.Count; ++n)
    engines.push_back({{"id", engineName(n)},
                       {"address", "127.0.0.1:1"},
                       {"failureDomain", fmt::format("d{}", n % 4)}});
  auto callers = json::array();
  auto routes = json::array();
  for (auto const &it : Given.Classes) {
    callers.push_back({{"name", it.Caller}, {"labels", {{"class", it.Name}}}});
    routes.push_back({{"name", it.Name},
                      {"callers", "class=" + it.Name},
                      {"models", ""},
                      {"servers", ""},
                      {"class", it.Name},
                      {"deadlineMs", toMilliseconds(it.Deadline)}});
  }
  return json{{"engines", engines},
              {"servers", json::array()},
              {"services", json::array()},
              {"models", json::array({{{"name", "model"}}})},
              {"callers", callers},
              {"routes", routes},
              {"engineRules", json::array()}}
      .dump();
}

auto Simulation::makeNodes() -> void {
  auto configuration = FleetConfiguration::compile(configurationText(), 1);
  auto options = ControlOptions{};
  options.Chooser = makeChooser(Policy);
  for (auto n = 0; n < Given.Instances; ++n) {
    auto id = InstanceId(fmt::format("i{}", n));
    auto identity = InstanceIdentity{id, Random() | 1U, FailureDomain("d"),
                                     id.text(), id.text()};
    Nodes.push_back(std::make_unique<Node>(
        Node{makeState(identity, options, Plan.now()), 1, {}}));
    // Instances do not tick in step with each other.
    auto offset = TickInterval * n / Given.Instances;
    Plan.schedule(offset, [this, n, configuration] {
      feed(n, ConfigurationReceived{configuration});
      tick(n);
    });
  }
}

auto Simulation::makeArrivals() -> void {
  for (auto n = std::size_t{0}; n < Given.Classes.size(); ++n) {
    auto at = Start + WarmUp;
    for (auto const &phase : Given.Phases) {
      auto end = Start + WarmUp + std::min(phase.Until, Given.Length);
      auto rate = phase.Rates.find(Given.Classes[n].Name);
      if (rate == phase.Rates.end() || rate->second == 0) {
        at = std::max(at, end);
        continue;
      }
      auto gap = std::exponential_distribution<double>{rate->second};
      for (at += fromSeconds(gap(Random)); at < end;
           at += fromSeconds(gap(Random)))
        arrive(n, at);
      at = end;
    }
  }
}

auto Simulation::draw(Range Bounds) -> int {
  return std::uniform_int_distribution<int>{Bounds.Low, Bounds.High}(Random);
}

auto Simulation::makeRequest(std::size_t Class) -> CallRequest {
  auto const &kind = Given.Classes[Class];
  auto request = CallRequest{};
  request.Caller = CallerName(kind.Caller);
  request.Model = ModelName("model");
  auto own = draw(kind.PromptTokens);
  auto prefixTokens = kind.SharedPrefixes > 0 ? kind.PrefixTokens : 0;
  request.PromptTokens = static_cast<std::uint32_t>(own + prefixTokens);
  request.MaximumTokens = static_cast<std::uint32_t>(draw(kind.OutputTokens));
  auto prefix = kind.SharedPrefixes > 0 ? draw({1, kind.SharedPrefixes}) : 0;
  auto shared = prefixTokens / TokensPerPiece;
  auto pieces = static_cast<int>(request.PromptTokens) / TokensPerPiece;
  for (auto n = 0; n < pieces; ++n) {
    auto text = n < shared ? fmt::format("{} {} {}", kind.Name, prefix, n)
                           : fmt::format("{} {}", Random(), n);
    request.PrefixHashes.push_back(hashText(text));
  }
  return request;
}

auto Simulation::arrive(std::size_t Class, Instant At) -> void {
  auto number = Traces.size();
  auto trace = Trace{};
  trace.Class = static_cast<int>(Class);
  trace.Arrived = At;
  trace.Deadline = At + Given.Classes[Class].Deadline;
  trace.Request = makeRequest(Class);
  Traces.push_back(std::move(trace));
  auto instance = draw({0, Given.Instances - 1});
  Plan.schedule(At - Plan.now(), [this, number, instance] {
    auto &node = *Nodes[instance];
    auto id = node.NextCall++;
    node.Traces[id] = number;
    feed(instance, CallArrived{id, Traces[number].Request, {}});
  });
}

auto Simulation::tick(int Instance) -> void {
  feed(Instance, Tick{});
  Plan.schedule(TickInterval, [this, Instance] { tick(Instance); });
}

auto Simulation::feed(int Instance, EventBody Happened) -> void {
  auto isArrival = std::holds_alternative<CallArrived>(Happened);
  auto begin = std::chrono::steady_clock::now();
  auto effects =
      reduce(Nodes[Instance]->Current, Event{Plan.now(), std::move(Happened)});
  auto spent = toSeconds(std::chrono::steady_clock::now() - begin);
  ReducerSeconds += spent;
  ++ReducedEvents;
  if (isArrival)
    DecisionSeconds.push_back(spent);
  for (auto &it : effects)
    std::visit(Carrier{*this, Instance}, it);
}

auto Simulation::submit(int Instance, SendAttempt const &What) -> void {
  auto &node = *Nodes[Instance];
  auto const &call = node.Current.Calls.Calls.at(What.Attempt.Call);
  auto engine = engineNumber(call.Current->Engine);
  auto request = EngineRequest{};
  request.Key = {Instance, What.Attempt};
  request.Pieces = call.Request.PrefixHashes;
  request.PrefillLeft = call.Request.PromptTokens + What.ResumeAfter;
  request.NextToken = What.ResumeAfter + 1;
  request.LastToken = call.Request.MaximumTokens;
  Plan.schedule(NetworkDelay, [this, engine, request] {
    if (Engines[engine].IsDown)
      return feed(request.Key.Instance, AttemptBroken{request.Key.Attempt});
    Engines[engine].submit(request);
    if (!Engines[engine].IsStepping)
      step(engine);
  });
}

auto Simulation::step(int Engine) -> void {
  auto length = Engines[Engine].beginStep();
  if (length == Duration{})
    return;
  Plan.schedule(length, [this, Engine] {
    for (auto const &it : Engines[Engine].endStep()) {
      feed(it.Key.Instance, AttemptToken{it.Key.Attempt, it.Index, {}});
      if (it.IsLast)
        feed(it.Key.Instance, AttemptCompleted{it.Key.Attempt, 200, {}, {}});
    }
    step(Engine);
  });
}

auto Simulation::strike(Fault const &What) -> void {
  auto &engine = Engines[What.Engine % Given.Engines.Count];
  switch (What.Kind) {
  case FaultKind::Lose:
    engine.IsDown = true;
    for (auto const &it : engine.crash())
      feed(it.Instance, AttemptBroken{it.Attempt});
    return;
  case FaultKind::Return:
    engine.IsDown = false;
    return;
  case FaultKind::Slow:
    engine.setSlowness(What.Factor);
    return;
  }
}

auto Simulation::run() -> std::string {
  auto end = Start + WarmUp + Given.Length + Drain;
  Plan.runUntil(end);
  return summary();
}

auto Simulation::bound() const -> double {
  // Least engine time of each request: shared prefixes are prefilled once,
  // decoding always shares a full batch. The shortest requests are taken until
  // the engines' time up to the last deadline is used; arrival times are
  // relaxed, so that no policy can do better.
  auto const &shape = Given.Engines;
  auto seen = std::set<std::uint64_t>{};
  auto costs = std::vector<double>{};
  auto perToken =
      (shape.DecodeBaseMs / shape.MaximumBatch + shape.DecodePerRequestMs) /
      1000;
  for (auto const &it : Traces) {
    auto prefill = static_cast<double>(it.Request.PromptTokens);
    for (auto piece : it.Request.PrefixHashes)
      if (!seen.insert(piece).second)
        prefill -= TokensPerPiece;
    costs.push_back(prefill / shape.PrefillTokensPerSecond +
                    perToken * it.Request.MaximumTokens);
  }
  std::ranges::sort(costs);
  auto last = Start;
  for (auto const &it : Traces)
    last = std::max(last, it.Deadline);
  auto capacity = toSeconds(last - Start - WarmUp) * shape.Count;
  auto taken = std::size_t{0};
  for (auto cost : costs) {
    capacity -= cost;
    if (capacity < 0)
      break;
    ++taken;
  }
  return Traces.empty()
             ? 1
             : static_cast<double>(taken) / static_cast<double>(Traces.size());
}

auto Simulation::summary() -> std::string {
  auto good = std::size_t{0};
  auto rejected = std::size_t{0};
  auto late = std::size_t{0};
  auto classes = json::object();
  for (auto const &kind : Given.Classes)
    classes[kind.Name] = {{"offered", 0}, {"good", 0}};
  for (auto const &it : Traces) {
    auto &row = classes[Given.Classes[it.Class].Name];
    row["offered"] = row["offered"].get<int>() + 1;
    if (isGood(it)) {
      ++good;
      row["good"] = row["good"].get<int>() + 1;
    } else if (it.Result == Outcome::NotRun) {
      ++rejected;
    } else {
      ++late;
    }
  }
  auto prefilled = 0.0;
  for (auto const &it : Engines)
    prefilled += it.prefilledTokens();
  auto offered = std::max<std::size_t>(Traces.size(), 1);
  return json{
      {"scenario", Given.Name},
      {"policy", Policy},
      {"seed", Seed},
      {"offered", Traces.size()},
      {"goodput", static_cast<double>(good) / static_cast<double>(offered)},
      {"bound", bound()},
      {"classes", classes},
      {"rejected", rejected},
      {"late", late},
      {"prefilled_tokens", prefilled},
      {"fitted_prefill_rate",
       Nodes[0]->Current.Backends.Model.prefillTokensPerSecond()},
      {"retries", Retries},
      {"role_changes", 0},
      {"first_token_s_p50", percentile(FirstTokenSeconds, 0.5)},
      {"first_token_s_p95", percentile(FirstTokenSeconds, 0.95)},
      {"between_tokens_s_p50", percentile(BetweenTokensSeconds, 0.5)},
      {"between_tokens_s_p95", percentile(BetweenTokensSeconds, 0.95)},
      {"decision_us_p50", percentile(DecisionSeconds, 0.5) * 1e6},
      {"decision_us_p99", percentile(DecisionSeconds, 0.99) * 1e6},
      {"reduced_events", ReducedEvents},
      {"reducer_share_of_a_core",
       ReducerSeconds / toSeconds(Plan.now() - Start) / Given.Instances},
      {"resident_kb", residentKilobytes()},
      {"violations", Violations}}
      .dump();
}

} // namespace dotterel::bench
