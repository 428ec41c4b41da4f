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
constexpr auto DrainTime = Duration{60s};
constexpr auto TokensPerBlock = 2000;

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

auto isGood(RequestRecord const &Record) -> bool {
  return Record.Result == Outcome::Completed &&
         Record.Finished <= Record.Deadline &&
         Record.Tokens == Record.Request.MaximumTokens;
}

} // namespace

/// Carries out the effects that one instance's reducer emits.
struct Simulation::EffectHandler {
  Simulation &Simulator; // NOLINT
  int Instance;

  auto deliver(Duration After, EventBody const &Body) const -> void {
    Simulator.Scheduler.schedule(After, [&simulator = Simulator, n = Instance,
                                         Body] { simulator.feed(n, Body); });
  }

  auto operator()(ConnectAttempt const &Effect) const -> void {
    auto const &calls = Simulator.Nodes[Instance]->Current.Calls.Calls;
    auto engine = engineNumber(calls.at(Effect.Attempt.Call).Current->Engine);
    if (Simulator.Engines[engine].IsDown)
      return deliver(NetworkDelay, AttemptUnreachable{Effect.Attempt});
    deliver(NetworkDelay, AttemptConnected{Effect.Attempt});
  }

  auto operator()(SendAttempt const &Effect) const -> void {
    Simulator.submit(Instance, Effect);
  }

  auto operator()(CancelAttempt const &Effect) const -> void {
    for (auto &it : Simulator.Engines)
      it.cancel({Instance, Effect.Attempt});
  }

  auto operator()(ForwardToken const &Effect) const -> void {
    auto &record =
        Simulator
            .Records[Simulator.Nodes[Instance]->RecordIndices.at(Effect.Call)];
    auto now = Simulator.Scheduler.now();
    if (++record.Tokens == 1)
      Simulator.FirstTokenSeconds.push_back(toSeconds(now - record.Arrived));
    else
      Simulator.BetweenTokensSeconds.push_back(
          toSeconds(now - record.LastToken));
    record.LastToken = now;
  }

  auto operator()(FinishCall const &Effect) const -> void {
    auto &record =
        Simulator
            .Records[Simulator.Nodes[Instance]->RecordIndices.at(Effect.Call)];
    if (record.Finished != Instant{})
      ++Simulator.Violations;
    record.Finished = Simulator.Scheduler.now();
    record.Result = Effect.Response.Result;
    record.Code = Effect.Response.Code;
    auto hasAllTokens = record.Tokens == record.Request.MaximumTokens;
    if (record.Result == Outcome::Completed && !hasAllTokens)
      ++Simulator.Violations;
  }

  auto operator()(PollEngine const &Effect) const -> void {
    auto const &engine = Simulator.Engines[engineNumber(Effect.Engine)];
    auto isLost = std::uniform_real_distribution<double>{}(Simulator.Random) <
                  Simulator.Config.ReportLossRate;
    if (engine.IsDown || isLost)
      return deliver(1s, EngineUnreachable{Effect.Engine});
    deliver(Simulator.Config.ReportLag + NetworkDelay,
            EngineReported{Effect.Engine, engine.report(),
                           Simulator.Scheduler.now()});
  }

  auto operator()(ReadShard const &Effect) const -> void {
    // Scenarios need no orders, so every shard read fails.
    deliver(NetworkDelay, ShardReadFailed{Effect.Shard});
  }

  auto operator()(ListInstances const & /*Effect*/) const -> void {
    deliver(NetworkDelay, InstancesListed{});
  }

  auto operator()(WatchConfiguration const & /*Effect*/) const -> void {
    deliver(5s, ConfigurationWatchEnded{true});
  }

  auto operator()(IncrementCounter const &Effect) const -> void {
    if (Effect.Metric == CounterMetric::Retries)
      ++Simulator.Retries;
  }

  template <typename Other>
  auto operator()(Other const & /*Effect*/) const -> void {}
};

Simulation::Simulation(Scenario Config, std::uint64_t Seed, std::string Policy)
    : Config(std::move(Config)), Seed(Seed), Policy(std::move(Policy)),
      Random(Seed), Start(Instant{} + 1h), Scheduler(Start) {
  for (auto n = 0; n < this->Config.Engines.Count; ++n)
    Engines.emplace_back(this->Config.Engines, Random() | 1U);
  makeNodes();
  makeArrivals();
  for (auto const &it : this->Config.Faults)
    Scheduler.schedule(WarmUp + it.At, [this, it] { injectFault(it); });
}

auto Simulation::configurationText() const -> std::string {
  auto engines = json::array();
  for (auto n = 0; n < Config.Engines.Count; ++n)
    engines.push_back({{"id", engineName(n)},
                       {"address", "127.0.0.1:1"},
                       {"failureDomain", fmt::format("d{}", n % 4)}});
  auto callers = json::array();
  auto routes = json::array();
  for (auto const &it : Config.Classes) {
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
  for (auto n = 0; n < Config.Instances; ++n) {
    auto id = InstanceId(fmt::format("i{}", n));
    auto identity = InstanceIdentity{id, Random() | 1U, FailureDomain("d"),
                                     id.text(), id.text()};
    Nodes.push_back(std::make_unique<Node>(
        Node{makeState(identity, options, Scheduler.now()), 1, {}}));
    // Spreads the ticks of the instances evenly over one interval.
    auto offset = TickInterval * n / Config.Instances;
    Scheduler.schedule(offset, [this, n, configuration] {
      feed(n, ConfigurationReceived{configuration});
      tick(n);
    });
  }
}

auto Simulation::makeArrivals() -> void {
  for (auto n = std::size_t{0}; n < Config.Classes.size(); ++n) {
    auto at = Start + WarmUp;
    for (auto const &phase : Config.Phases) {
      auto end = Start + WarmUp + std::min(phase.Until, Config.Length);
      auto rate = phase.Rates.find(Config.Classes[n].Name);
      if (rate == phase.Rates.end() || rate->second == 0) {
        at = std::max(at, end);
        continue;
      }
      auto gap = std::exponential_distribution<double>{rate->second};
      for (at += fromSeconds(gap(Random)); at < end;
           at += fromSeconds(gap(Random)))
        scheduleArrival(n, at);
      at = end;
    }
  }
}

auto Simulation::drawUniform(Range Bounds) -> int {
  return std::uniform_int_distribution<int>{Bounds.Low, Bounds.High}(Random);
}

auto Simulation::makeRequest(std::size_t Class) -> CallRequest {
  auto const &requestClass = Config.Classes[Class];
  auto request = CallRequest{};
  request.Caller = CallerName(requestClass.Caller);
  request.Model = ModelName("model");
  auto uniqueTokens = drawUniform(requestClass.PromptTokens);
  auto prefixTokens =
      requestClass.SharedPrefixes > 0 ? requestClass.PrefixTokens : 0;
  request.PromptTokens =
      static_cast<std::uint32_t>(uniqueTokens + prefixTokens);
  request.MaximumTokens =
      static_cast<std::uint32_t>(drawUniform(requestClass.OutputTokens));
  auto prefix = requestClass.SharedPrefixes > 0
                    ? drawUniform({1, requestClass.SharedPrefixes})
                    : 0;
  auto shared = prefixTokens / TokensPerBlock;
  auto blocks = static_cast<int>(request.PromptTokens) / TokensPerBlock;
  for (auto n = 0; n < blocks; ++n) {
    auto text = n < shared
                    ? fmt::format("{} {} {}", requestClass.Name, prefix, n)
                    : fmt::format("{} {}", Random(), n);
    request.PrefixHashes.push_back(hashText(text));
  }
  return request;
}

auto Simulation::scheduleArrival(std::size_t Class, Instant At) -> void {
  auto number = Records.size();
  auto record = RequestRecord{};
  record.Class = static_cast<int>(Class);
  record.Arrived = At;
  record.Deadline = At + Config.Classes[Class].Deadline;
  record.Request = makeRequest(Class);
  Records.push_back(std::move(record));
  auto instance = drawUniform({0, Config.Instances - 1});
  Scheduler.schedule(At - Scheduler.now(), [this, number, instance] {
    auto &node = *Nodes[instance];
    auto id = node.NextCall++;
    node.RecordIndices[id] = number;
    feed(instance, CallArrived{id, Records[number].Request, {}});
  });
}

auto Simulation::tick(int Instance) -> void {
  feed(Instance, Tick{});
  Scheduler.schedule(TickInterval, [this, Instance] { tick(Instance); });
}

auto Simulation::feed(int Instance, EventBody Body) -> void {
  auto isArrival = std::holds_alternative<CallArrived>(Body);
  auto begin = std::chrono::steady_clock::now();
  auto effects =
      reduce(Nodes[Instance]->Current, Event{Scheduler.now(), std::move(Body)});
  auto spent = toSeconds(std::chrono::steady_clock::now() - begin);
  ReducerSeconds += spent;
  ++ReducedEvents;
  if (isArrival)
    DecisionSeconds.push_back(spent);
  for (auto &it : effects)
    std::visit(EffectHandler{*this, Instance}, it);
}

auto Simulation::submit(int Instance, SendAttempt const &Effect) -> void {
  auto &node = *Nodes[Instance];
  auto const &call = node.Current.Calls.Calls.at(Effect.Attempt.Call);
  auto engine = engineNumber(call.Current->Engine);
  auto request = EngineRequest{};
  request.Key = {Instance, Effect.Attempt};
  request.Blocks = call.Request.PrefixHashes;
  request.PrefillLeft = call.Request.PromptTokens + Effect.ResumeAfter;
  request.NextToken = Effect.ResumeAfter + 1;
  request.LastToken = call.Request.MaximumTokens;
  Scheduler.schedule(NetworkDelay, [this, engine, request] {
    if (Engines[engine].IsDown)
      return feed(request.Key.Instance,
                  AttemptInterrupted{request.Key.Attempt});
    Engines[engine].submit(request);
    if (!Engines[engine].IsStepping)
      step(engine);
  });
}

auto Simulation::step(int Engine) -> void {
  auto length = Engines[Engine].beginStep();
  if (length == Duration{})
    return;
  Scheduler.schedule(length, [this, Engine] {
    for (auto const &it : Engines[Engine].endStep()) {
      feed(it.Key.Instance, AttemptToken{it.Key.Attempt, it.Index, {}});
      if (it.IsLast)
        feed(it.Key.Instance, AttemptCompleted{it.Key.Attempt, 200, {}, {}});
    }
    step(Engine);
  });
}

auto Simulation::injectFault(Fault const &Injected) -> void {
  auto &engine = Engines[Injected.Engine % Config.Engines.Count];
  switch (Injected.Kind) {
  case FaultKind::Lose:
    engine.IsDown = true;
    for (auto const &it : engine.crash())
      feed(it.Instance, AttemptInterrupted{it.Attempt});
    return;
  case FaultKind::Return:
    engine.IsDown = false;
    return;
  case FaultKind::Slow:
    engine.setSlowdown(Injected.Factor);
    return;
  }
}

auto Simulation::run() -> std::string {
  auto end = Start + WarmUp + Config.Length + DrainTime;
  Scheduler.runUntil(end);
  return summary();
}

auto Simulation::goodputBound() const -> double {
  // Each request costs at least this much engine time: shared prefixes are
  // prefilled once, and decoding always shares a full batch. The cheapest
  // requests are counted until the engines' time up to the last deadline is
  // used up. Arrival times are ignored, so that no policy can do better.
  auto const &parameters = Config.Engines;
  auto prefilledBlocks = std::set<std::uint64_t>{};
  auto costs = std::vector<double>{};
  auto decodeSecondsPerToken =
      (parameters.DecodeBaseMs / parameters.MaximumBatch +
       parameters.DecodePerRequestMs) /
      1000;
  for (auto const &it : Records) {
    auto prefill = static_cast<double>(it.Request.PromptTokens);
    for (auto block : it.Request.PrefixHashes)
      if (!prefilledBlocks.insert(block).second)
        prefill -= TokensPerBlock;
    costs.push_back(prefill / parameters.PrefillTokensPerSecond +
                    decodeSecondsPerToken * it.Request.MaximumTokens);
  }
  std::ranges::sort(costs);
  auto last = Start;
  for (auto const &it : Records)
    last = std::max(last, it.Deadline);
  auto capacity = toSeconds(last - Start - WarmUp) * parameters.Count;
  auto taken = std::size_t{0};
  for (auto cost : costs) {
    capacity -= cost;
    if (capacity < 0)
      break;
    ++taken;
  }
  return Records.empty()
             ? 1
             : static_cast<double>(taken) / static_cast<double>(Records.size());
}

auto Simulation::summary() -> std::string {
  auto good = std::size_t{0};
  auto rejected = std::size_t{0};
  auto late = std::size_t{0};
  auto classes = json::object();
  for (auto const &requestClass : Config.Classes)
    classes[requestClass.Name] = {{"offered", 0}, {"good", 0}};
  for (auto const &it : Records) {
    auto &row = classes[Config.Classes[it.Class].Name];
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
  auto offered = std::max<std::size_t>(Records.size(), 1);
  return json{
      {"scenario", Config.Name},
      {"policy", Policy},
      {"seed", Seed},
      {"offered", Records.size()},
      {"goodput", static_cast<double>(good) / static_cast<double>(offered)},
      {"bound", goodputBound()},
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
       ReducerSeconds / toSeconds(Scheduler.now() - Start) / Config.Instances},
      {"resident_kb", residentKilobytes()},
      {"violations", Violations}}
      .dump();
}

} // namespace dotterel::bench
