#include "LibConfiguration/FleetConfiguration.h"

#include "LibCore/Error.h"

#include <algorithm>
#include <array>

namespace dotterel {

namespace {

struct RoleName {
  EngineRole Role;
  std::string_view Name;
};

constexpr auto RoleNames = std::to_array<RoleName>({
    {EngineRole::Mixed, "mixed"},
    {EngineRole::Prefill, "prefill"},
    {EngineRole::Decode, "decode"},
});

} // namespace

auto toString(EngineRole Role) -> std::string_view {
  return std::ranges::find(RoleNames, Role, &RoleName::Role)->Name;
}

auto parseEngineRole(std::string_view Text) -> EngineRole {
  auto const *it = std::ranges::find(RoleNames, Text, &RoleName::Name);
  if (it == RoleNames.end())
    throw Error(ResultCode::InvalidConfiguration,
                "unknown role '" + std::string(Text) + "'");
  return it->Role;
}

auto FleetConfiguration::findEngine(EngineId const &Id) const
    -> EngineDeclaration const * {
  auto it = EngineIndices.find(Id);
  return it == EngineIndices.end() ? nullptr : &Engines[it->second];
}

auto FleetConfiguration::findService(ServiceName const &Name) const
    -> ServiceDeclaration const * {
  auto it = std::ranges::find(Services, Name, &ServiceDeclaration::Name);
  return it == Services.end() ? nullptr : &*it;
}

auto FleetConfiguration::hasModel(ModelName const &Name) const -> bool {
  return std::ranges::find(Models, Name, &ModelDeclaration::Name) !=
         Models.end();
}

auto FleetConfiguration::share(CallerName const &Name) const -> double {
  auto it = std::ranges::find(Callers, Name, &CallerDeclaration::Name);
  return it == Callers.end() ? 1.0 : it->Share;
}

auto FleetConfiguration::admits(CompiledRoute const &Route,
                                CallerName const &Caller) const -> bool {
  if (Route.Callers.contains(Caller))
    return true;
  auto declared = std::ranges::find(Callers, Caller,
                                    &CallerDeclaration::Name) != Callers.end();
  return !declared && Route.Declaration.Callers.matches({});
}

auto FleetConfiguration::findModelRoute(CallerName const &Caller,
                                        ModelName const &Model) const
    -> CompiledRoute const * {
  auto it = std::ranges::find_if(Routes, [&](CompiledRoute const &Route) {
    return Route.Models.contains(Model) && admits(Route, Caller);
  });
  return it == Routes.end() ? nullptr : &*it;
}

auto FleetConfiguration::findServiceRoute(CallerName const &Caller,
                                          ServiceName const &Service) const
    -> CompiledRoute const * {
  auto it = std::ranges::find_if(Routes, [&](CompiledRoute const &Route) {
    return Route.Services.contains(Service) && admits(Route, Caller);
  });
  return it == Routes.end() ? nullptr : &*it;
}

auto FleetConfiguration::desiredState(EngineId const &Id) const
    -> std::optional<DesiredEngineState> {
  auto it = DesiredStates.find(Id);
  if (it == DesiredStates.end())
    return std::nullopt;
  return it->second;
}

} // namespace dotterel
