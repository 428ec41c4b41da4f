#include "LibGateway/RelayMetrics.h"

#include <array>
#include <map>
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

/// Limit on distinct route labels; further routes share one label, so that very
/// many routes cannot exhaust the memory.
constexpr auto MaximumRouteLabels = std::size_t{64};
/// The same for customers.
constexpr auto MaximumCustomerLabels = std::size_t{64};

auto buckets() -> Histogram::BucketBoundaries {
  return {0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8};
}

struct CounterNames {
  std::string Name;
  std::string Help;
  std::string LabelName;
};

auto counterNames(relay::CounterMetric Metric) -> CounterNames {
  switch (Metric) {
  case relay::CounterMetric::Responses:
    return {"dotterel_relay_answers_total", "Requests by result", "result"};
  case relay::CounterMetric::Attempts:
    return {"dotterel_relay_attempts_total", "Tries at servers", "kind"};
  case relay::CounterMetric::Retries:
    return {"dotterel_relay_retries_total", "Tries after the first", "kind"};
  case relay::CounterMetric::Resumes:
    return {"dotterel_relay_resumes_total", "Streams continued elsewhere",
            "kind"};
  case relay::CounterMetric::Refusals:
    return {"dotterel_relay_refusals_total",
            "Requests refused before they were routed", "result"};
  case relay::CounterMetric::StreamEnds:
    return {"dotterel_relay_stream_ends_total",
            "Streams that servers ended, by framing of the response",
            "framing"};
  case relay::CounterMetric::Sends:
    return {"dotterel_relay_sends_total", "Requests sent to servers, by kind",
            "kind"};
  case relay::CounterMetric::LimitedSends:
    return {"dotterel_relay_limited_sends_total",
            "Requests sent to servers that name a limit, by service",
            "service"};
  case relay::CounterMetric::Permits:
    return {"dotterel_relay_permits_total",
            "Permits for servers that name a limit, by outcome", "outcome"};
  case relay::CounterMetric::CustomerStarts:
    return {"dotterel_relay_customer_starts_total",
            "Requests of customers that began to run", "customer"};
  case relay::CounterMetric::LeaderCalls:
    return {"dotterel_relay_leader_calls_total",
            "Usage reports and orders of servers, by outcome", "outcome"};
  }
  return {"dotterel_relay_other_total", "Other events", "kind"};
}

} // namespace

struct RelayMetrics::Implementation {
  prometheus::Registry Registry;
  std::map<relay::CounterMetric, Family<Counter> *> Counters;
  Family<Histogram> &FirstPart =
      prometheus::BuildHistogram()
          .Name("dotterel_relay_first_part_seconds")
          .Help("Time from arrival to the first part of the answer")
          .Register(Registry);
  Family<Histogram> &Total =
      prometheus::BuildHistogram()
          .Name("dotterel_relay_request_seconds")
          .Help("Time from arrival to the end of the answer")
          .Register(Registry);
  Family<Gauge> &Gauges = prometheus::BuildGauge()
                              .Name("dotterel_relay_state")
                              .Help("What the instance knows and holds")
                              .Register(Registry);
  std::set<std::string> CustomerLabels;
  /// Histograms by route label, so that each is looked up once.
  std::map<std::string, Histogram *> FirstPartByRoute;
  std::map<std::string, Histogram *> TotalByRoute;

  auto counters(relay::CounterMetric Metric) -> Family<Counter> & {
    auto &family = Counters[Metric];
    if (family == nullptr) {
      auto names = counterNames(Metric);
      family = &prometheus::BuildCounter()
                    .Name(names.Name)
                    .Help(names.Help)
                    .Register(Registry);
    }
    return *family;
  }

  auto customerLabel(std::string const &Customer) -> std::string {
    if (CustomerLabels.size() < MaximumCustomerLabels)
      CustomerLabels.insert(Customer);
    return CustomerLabels.contains(Customer) ? Customer : "other";
  }

  auto routeLabel(std::string const &Route) const -> std::string {
    auto isKnown = TotalByRoute.contains(Route);
    return isKnown || TotalByRoute.size() < MaximumRouteLabels ? Route
                                                               : "other";
  }
};

RelayMetrics::RelayMetrics() : Impl(std::make_unique<Implementation>()) {}
RelayMetrics::~RelayMetrics() = default;

auto RelayMetrics::run(relay::IncrementCounter const &Effect) -> void {
  auto labels = std::map<std::string, std::string>{};
  if (!Effect.Route.empty())
    labels["route"] = Impl->routeLabel(Effect.Route);
  if (!Effect.Label.empty())
    labels[counterNames(Effect.Metric).LabelName] =
        Effect.Metric == relay::CounterMetric::CustomerStarts
            ? Impl->customerLabel(Effect.Label)
            : Effect.Label;
  Impl->counters(Effect.Metric).Add(labels).Increment();
}

auto RelayMetrics::run(relay::ObserveDuration const &Effect) -> void {
  auto isTotal = Effect.Metric == relay::DurationMetric::Total;
  auto &known = isTotal ? Impl->TotalByRoute : Impl->FirstPartByRoute;
  auto label = Impl->routeLabel(Effect.Route);
  auto &histogram = known[label];
  if (histogram == nullptr)
    histogram = &(isTotal ? Impl->Total : Impl->FirstPart)
                     .Add({{"route", label}}, buckets());
  histogram->Observe(toSeconds(Effect.Value));
}

auto RelayMetrics::text(relay::State const &CurrentState,
                        CallerLoad const &Callers) -> std::string {
  auto set = [&](char const *Name, double Value) {
    Impl->Gauges.Add({{"name", Name}}).Set(Value);
  };
  set("configuration_version",
      CurrentState.Config ? static_cast<double>(CurrentState.Config->version())
                          : 0);
  set("servers", static_cast<double>(CurrentState.Servers.size()));
  set("instances", CurrentState.Peers.fleetSize());
  set("requests_in_progress",
      static_cast<double>(CurrentState.Requests.size()));
  set("store_era", static_cast<double>(CurrentState.Store.Era));
  set("stored_configuration_version",
      static_cast<double>(CurrentState.StoredConfiguration));
  set("behind_peers", CurrentState.IsBehindPeers ? 1 : 0);
  auto leaving = 0;
  auto paused = 0;
  for (auto const &it : CurrentState.Servers.all()) {
    leaving += it.second->isLeaving() ? 1 : 0;
    paused += CurrentState.Now < it.second->PausedUntil ? 1 : 0;
  }
  set("servers_leaving", leaving);
  set("servers_paused", paused);
  set("servers_limited", static_cast<double>(CurrentState.Limits.size()));
  set("quarantined_segments",
      static_cast<double>(CurrentState.Quarantine.segmentCount()));
  set("quarantined_requests",
      static_cast<double>(CurrentState.Quarantine.requestCount()));
  set("caller_connections", static_cast<double>(Callers.Connections));
  set("caller_request_bytes", static_cast<double>(Callers.RequestBytes));
  set("caller_backlog_bytes", static_cast<double>(Callers.BacklogBytes));
  set("caller_memory_refusals", static_cast<double>(Callers.MemoryRefusals));
  set("caller_connections_evicted",
      static_cast<double>(Callers.EvictedConnections));
  set("keys_confirmed", CurrentState.Customers.IsConfirmed ? 1 : 0);
  set("is_leader", CurrentState.Leader.Lease.Fence ? 1 : 0);
  set("store_reachable", CurrentState.Store.IsReachable ? 1 : 0);
  set("ready", CurrentState.isReady() ? 1 : 0);
  return prometheus::TextSerializer{}.Serialize(Impl->Registry.Collect());
}

} // namespace dotterel
