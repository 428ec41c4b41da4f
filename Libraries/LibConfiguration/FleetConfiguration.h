/// \file
/// What operators declare: engines, services, models, callers, and the
/// selectors that say which traffic goes where.
#pragma once

#include "LibConfiguration/Selector.h"
#include "LibCore/Identifier.h"
#include "LibCore/Time.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// What an engine does for a request.
enum class EngineRole : std::uint8_t { Mixed, Prefill, Decode };

[[nodiscard]] auto toString(EngineRole Role) -> std::string_view;
/// Errors: dotterel::Error InvalidConfiguration.
[[nodiscard]] auto parseEngineRole(std::string_view Text) -> EngineRole;

/// A model engine.
struct EngineDeclaration {
  EngineId Id;
  std::string Address;
  FailureDomain Domain;
  LabelSet Labels;
  bool ChecksFencing = false;
};

/// A backend server of a plain service.
struct ServerDeclaration {
  ServerId Id;
  ServiceName Service;
  std::string Address;
  FailureDomain Domain;
  LabelSet Labels;
};

/// A plain service. Calls to idempotent paths may be repeated, as may GET and
/// HEAD anywhere.
struct ServiceDeclaration {
  ServiceName Name;
  LabelSet Labels;
  std::vector<std::string> IdempotentPaths;
};

struct ModelDeclaration {
  ModelName Name;
  LabelSet Labels;
};

/// A caller; Share weighs it against others when the fleet is full.
struct CallerDeclaration {
  CallerName Name;
  LabelSet Labels;
  double Share = 1;
};

/// Admits callers to models or services and names the servers that answer.
struct RouteDeclaration {
  std::string Name;
  Selector Callers;
  std::optional<Selector> Models;
  std::optional<Selector> Services;
  Selector Servers;
  std::string Class;
  Duration Deadline{};
};

/// What the matching engines should load and do.
struct EngineRule {
  std::string Name;
  Selector Engines;
  Selector Models;
  EngineRole Role = EngineRole::Mixed;
};

/// The state that an engine should be in.
struct DesiredEngineState {
  EngineRole Role = EngineRole::Mixed;
  std::vector<ModelName> Models;
  auto operator==(DesiredEngineState const &) const -> bool = default;
};

/// A route with its selectors resolved to indices.
struct CompiledRoute {
  RouteDeclaration Declaration;
  std::set<CallerName> Callers;
  std::set<ModelName> Models;
  std::set<ServiceName> Services;
  std::vector<std::size_t> Engines;
  std::vector<std::size_t> Servers;
  /// Whether the route uses the engine, by index.
  std::vector<bool> UsesEngine;
};

/// A point of the ring that prompt prefixes are placed on.
struct RingPoint {
  std::uint64_t Position = 0;
  std::size_t Engine = 0;
  auto operator<=>(RingPoint const &) const = default;
};

/// An accepted configuration, compiled once per revision and immutable.
/// Thread safety: const methods from any thread.
class FleetConfiguration {
public:
  /// Parses, checks and compiles \p Text.
  /// Errors: dotterel::Error InvalidConfiguration, one line per problem.
  [[nodiscard]] static auto compile(std::string_view Text, Revision Number)
      -> std::shared_ptr<FleetConfiguration const>;

  [[nodiscard]] auto revision() const -> Revision { return Number; }
  [[nodiscard]] auto text() const -> std::string const & { return Text; }
  [[nodiscard]] auto engines() const -> std::vector<EngineDeclaration> const & {
    return Engines;
  }
  [[nodiscard]] auto servers() const -> std::vector<ServerDeclaration> const & {
    return Servers;
  }
  [[nodiscard]] auto routes() const -> std::vector<CompiledRoute> const & {
    return Routes;
  }
  /// Returns what may be meant otherwise: empty matches and overlaps.
  [[nodiscard]] auto warnings() const -> std::vector<std::string> const & {
    return Warnings;
  }

  /// Returns the ring of all engines, in order of position. A change of one
  /// engine moves only the prefixes next to its points.
  [[nodiscard]] auto ring() const -> std::vector<RingPoint> const & {
    return Ring;
  }

  [[nodiscard]] auto findEngine(EngineId const &Id) const
      -> EngineDeclaration const *;
  [[nodiscard]] auto findService(ServiceName const &Name) const
      -> ServiceDeclaration const *;
  [[nodiscard]] auto hasModel(ModelName const &Name) const -> bool;
  /// Returns the share of \p Name; 1 if it is not declared.
  [[nodiscard]] auto share(CallerName const &Name) const -> double;

  /// Returns the first route that admits the caller, or null.
  [[nodiscard]] auto findModelRoute(CallerName const &Caller,
                                    ModelName const &Model) const
      -> CompiledRoute const *;
  [[nodiscard]] auto findServiceRoute(CallerName const &Caller,
                                      ServiceName const &Service) const
      -> CompiledRoute const *;

  /// Returns what the first matching rule declares for \p Id, if any does.
  [[nodiscard]] auto desiredState(EngineId const &Id) const
      -> std::optional<DesiredEngineState>;

private:
  class Compiler;

  [[nodiscard]] auto admits(CompiledRoute const &Route,
                            CallerName const &Caller) const -> bool;

  Revision Number = 0;
  std::string Text;
  std::vector<EngineDeclaration> Engines;
  std::vector<ServerDeclaration> Servers;
  std::vector<ServiceDeclaration> Services;
  std::vector<ModelDeclaration> Models;
  std::vector<CallerDeclaration> Callers;
  std::vector<CompiledRoute> Routes;
  std::vector<EngineRule> Rules;
  std::vector<std::string> Warnings;
  std::map<EngineId, std::size_t> EngineIndices;
  std::vector<RingPoint> Ring;
  std::map<EngineId, DesiredEngineState> DesiredStates;
};

} // namespace dotterel
