#include "LibGateway/RelayMetrics.h"

#include <array>
#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace dotterel {

namespace {

using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/// Routes beyond this many share one label, so that a configuration with very
/// many routes cannot fill the memory.
constexpr auto MaximumRouteLabels = std::size_t{64};

auto buckets() -> Histogram::BucketBoundaries {
  return {0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 4, 8};
}

struct CounterNames {
  std::string Name;
  std::string Help;
  std::string LabelName;
};

auto namesOf(relay::CounterMetric Metric) -> CounterNames {
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
  Family<Histogram> &Whole =
      prometheus::BuildHistogram()
          .Name("dotterel_relay_request_seconds")
          .Help("Time from arrival to the end of the answer")
          .Register(Registry);
  Family<Gauge> &Gauges = prometheus::BuildGauge()
                              .Name("dotterel_relay_state")
                              .Help("What the instance knows and holds")
                              .Register(Registry);
  /// Children by label, looked up once for each.
  std::map<std::string, Histogram *> FirstPartByRoute;
  std::map<std::string, Histogram *> WholeByRoute;

  auto counters(relay::CounterMetric Metric) -> Family<Counter> & {
    auto &family = Counters[Metric];
    if (family == nullptr) {
      auto names = namesOf(Metric);
      family = &prometheus::BuildCounter()
                    .Name(names.Name)
                    .Help(names.Help)
                    .Register(Registry);
    }
    return *family;
  }

  auto routeLabel(std::string const &Route) const -> std::string {
    auto isKnown = WholeByRoute.contains(Route);
    return isKnown || WholeByRoute.size() < MaximumRouteLabels ? Route
                                                               : "other";
  }
};

RelayMetrics::RelayMetrics() : Self(std::make_unique<Implementation>()) {}
RelayMetrics::~RelayMetrics() = default;

auto RelayMetrics::run(relay::IncrementCounter const &What) -> void {
  auto labels = std::map<std::string, std::string>{};
  if (!What.Route.empty())
    labels["route"] = Self->routeLabel(What.Route);
  if (!What.Label.empty())
    labels[namesOf(What.Metric).LabelName] = What.Label;
  Self->counters(What.Metric).Add(labels).Increment();
}

auto RelayMetrics::run(relay::ObserveDuration const &What) -> void {
  auto isWhole = What.Metric == relay::DurationMetric::Total;
  auto &known = isWhole ? Self->WholeByRoute : Self->FirstPartByRoute;
  auto label = Self->routeLabel(What.Route);
  auto &child = known[label];
  if (child == nullptr)
    child = &(isWhole ? Self->Whole : Self->FirstPart)
                 .Add({{"route", label}}, buckets());
  child->Observe(toSeconds(What.Value));
}

auto RelayMetrics::text(relay::State const &Subject) -> std::string {
  auto set = [&](char const *Name, double Value) {
    Self->Gauges.Add({{"name", Name}}).Set(Value);
  };
  set("configuration_version",
      Subject.Config ? static_cast<double>(Subject.Config->version()) : 0);
  set("servers", static_cast<double>(Subject.Servers.size()));
  set("instances", Subject.Peers.fleetSize());
  set("requests_in_progress", static_cast<double>(Subject.Requests.size()));
  set("store_reachable", Subject.Store.IsReachable ? 1 : 0);
  set("ready", Subject.isReady() ? 1 : 0);
  return prometheus::TextSerializer{}.Serialize(Self->Registry.Collect());
}

} // namespace dotterel
