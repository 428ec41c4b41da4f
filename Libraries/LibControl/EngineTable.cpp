#include "LibControl/EngineTable.h"

#include <algorithm>

namespace dotterel {

namespace {

constexpr auto ReportMaximumAge = Duration{10s};
/// Number of consecutive failed polls up to which an engine still counts as
/// reachable.
constexpr auto ToleratedFailedPolls = 1U;

} // namespace

auto hasFreshReport(EngineView const &View, Instant Now) -> bool {
  return View.Report && Now - View.ReportObserved < ReportMaximumAge;
}

auto isUnreachable(EngineView const &View) -> bool {
  return View.FailedPolls > ToleratedFailedPolls;
}

auto isRoutable(BackendTable const &Table, EngineId const &Engine,
                ModelName const &Model, Instant Now) -> bool {
  auto it = Table.Engines.find(Engine);
  if (it == Table.Engines.end() || !hasFreshReport(it->second, Now))
    return false;
  auto const &report = *it->second.Report;
  if (report.IsChanging || report.Role != EngineRole::Mixed)
    return false;
  if (isUnreachable(it->second))
    return false;
  if (Table.Drains.contains(Engine) || it->second.Health.isEjected(Now))
    return false;
  return std::ranges::find(report.Models, Model) != report.Models.end();
}

} // namespace dotterel
