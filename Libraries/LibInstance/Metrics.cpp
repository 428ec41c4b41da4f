#include "LibInstance/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>

namespace dotterel {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/// Further callers share the label "other", so that requests with invented
/// caller names cannot exhaust memory.
constexpr auto MaximumCallerLabels = std::size_t{1000};

auto durationBuckets() -> Histogram::BucketBoundaries {
  return {0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.2, 0.38, 0.8, 2, 5, 15, 60};
}

auto histogramFamily(prometheus::Registry &Registry, std::string const &Name,
                     std::string const &Help) -> Family<Histogram> & {
  return prometheus::BuildHistogram().Name(Name).Help(Help).Register(Registry);
}

auto counterFamily(prometheus::Registry &Registry, std::string const &Name,
                   std::string const &Help) -> Family<Counter> & {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Registry);
}

auto gauge(prometheus::Registry &Registry, std::string const &Name,
           std::string const &Help) -> Gauge & {
  return prometheus::BuildGauge().Name(Name).Help(Help).Register(Registry).Add(
      {});
}

/// Returns the label name for IncrementCounter::Label.
auto labelName(CounterMetric Metric) -> std::string {
  switch (Metric) {
  case CounterMetric::Calls:
    return "code";
  case CounterMetric::Retries:
  case CounterMetric::Resumes:
    return "class";
  case CounterMetric::Drains:
  case CounterMetric::Orders:
  case CounterMetric::RoleChanges:
    return "engine";
  case CounterMetric::LeaseChanges:
    return "shard";
  case CounterMetric::PeersRefused:
    return "peer";
  }
  return "label";
}

} // namespace

struct Metrics::Implementation {
  prometheus::Registry Registry;
  Family<Histogram> &FirstToken =
      histogramFamily(Registry, "dotterel_first_token_seconds",
                      "Time from arrival to the first token");
  Family<Histogram> &BetweenTokens = histogramFamily(
      Registry, "dotterel_between_tokens_seconds", "Time between two tokens");
  Family<Histogram> &Total = histogramFamily(Registry, "dotterel_call_seconds",
                                             "Time from arrival to the answer");
  Family<Counter> &Calls =
      counterFamily(Registry, "dotterel_calls_total", "Calls by result code");
  Family<Counter> &Retries = counterFamily(Registry, "dotterel_retries_total",
                                           "Attempts after the first");
  Family<Counter> &Resumes = counterFamily(Registry, "dotterel_resumes_total",
                                           "Streams continued elsewhere");
  Family<Counter> &Drains = counterFamily(Registry, "dotterel_drains_total",
                                          "Drains that were honoured");
  Family<Counter> &Orders =
      counterFamily(Registry, "dotterel_orders_total", "Orders sent");
  Family<Counter> &RoleChanges = counterFamily(
      Registry, "dotterel_role_changes_total", "Orders seen carried out");
  Family<Counter> &LeaseChanges =
      counterFamily(Registry, "dotterel_lease_changes_total",
                    "Leases taken or lost by this instance");
  Family<Counter> &PeersRefused = counterFamily(
      Registry, "dotterel_peers_refused_total", "Peers with a wrong key");
  Gauge &CallsInProgress = gauge(Registry, "dotterel_calls_in_progress",
                                 "Calls without a final answer");
  Gauge &Revision = gauge(Registry, "dotterel_configuration_revision",
                          "Revision of the configuration in force");
  Gauge &ConnectedPeers =
      gauge(Registry, "dotterel_peers", "Connected other instances");
  std::set<std::string> Callers;

  auto callerLabel(CallerName const &Caller) -> std::string {
    if (Callers.contains(Caller.text()))
      return Caller.text();
    if (Callers.size() >= MaximumCallerLabels)
      return "other";
    Callers.insert(Caller.text());
    return Caller.text();
  }

  auto family(CounterMetric Metric) -> Family<Counter> & {
    switch (Metric) {
    case CounterMetric::Calls:
      return Calls;
    case CounterMetric::Retries:
      return Retries;
    case CounterMetric::Resumes:
      return Resumes;
    case CounterMetric::Drains:
      return Drains;
    case CounterMetric::Orders:
      return Orders;
    case CounterMetric::RoleChanges:
      return RoleChanges;
    case CounterMetric::LeaseChanges:
      return LeaseChanges;
    case CounterMetric::PeersRefused:
      return PeersRefused;
    }
    return Calls;
  }

  auto family(DurationMetric Metric) -> Family<Histogram> & {
    switch (Metric) {
    case DurationMetric::FirstToken:
      return FirstToken;
    case DurationMetric::BetweenTokens:
      return BetweenTokens;
    case DurationMetric::Total:
      return Total;
    }
    return Total;
  }
};

Metrics::Metrics() : Impl(std::make_unique<Implementation>()) {}
Metrics::~Metrics() = default;

auto Metrics::run(ObserveDuration const &Effect) -> void {
  Impl->family(Effect.Metric)
      .Add({{"caller", Impl->callerLabel(Effect.Caller)},
            {"class", Effect.Class}},
           durationBuckets())
      .Observe(toSeconds(Effect.Value));
}

auto Metrics::run(IncrementCounter const &Effect) -> void {
  auto labels = std::map<std::string, std::string>{};
  if (!Effect.Caller.empty())
    labels["caller"] = Impl->callerLabel(Effect.Caller);
  if (!Effect.Label.empty())
    labels[labelName(Effect.Metric)] = Effect.Label;
  Impl->family(Effect.Metric).Add(labels).Increment();
}

auto Metrics::updateGauges(State const &CurrentState) -> void {
  Impl->CallsInProgress.Set(
      static_cast<double>(CurrentState.Calls.Calls.size()));
  auto const &current = CurrentState.Configuration.Current;
  Impl->Revision.Set(current ? static_cast<double>(current->revision()) : 0);
  auto connected = 0;
  for (auto const &it : CurrentState.Members.Peers)
    connected += it.second.IsConnected ? 1 : 0;
  Impl->ConnectedPeers.Set(connected);
}

auto Metrics::text() const -> std::string {
  return prometheus::TextSerializer{}.Serialize(Impl->Registry.Collect());
}

} // namespace dotterel
