/// \file
/// The fleet configuration that operators write: engines, backend servers,
/// services, models, callers, routes and engine rules.
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

/// The phases of a request that an engine runs: prefill, decode or both.
enum class EngineRole : std::uint8_t { Mixed, Prefill, Decode };

[[nodiscard]] auto toString(EngineRole Role) -> std::string_view;
/// Errors: dotterel::Error InvalidConfiguration.
[[nodiscard]] auto parseEngineRole(std::string_view Text) -> EngineRole;

/// A model engine. An engine with ChecksFencing refuses orders whose fencing
/// number is below the highest that it has seen.
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

/// A plain service. Calls to its idempotent paths, and GET and HEAD calls to
/// any path, may be retried.
struct ServiceDeclaration {
  ServiceName Name;
  LabelSet Labels;
  std::vector<std::string> IdempotentPaths;
};

struct ModelDeclaration {
  ModelName Name;
  LabelSet Labels;
};

/// A caller. Share is its weight against other callers when the fleet is full.
struct CallerDeclaration {
  CallerName Name;
  LabelSet Labels;
  double Share = 1;
};

/// Admits callers to models or services and selects the backend servers that
/// serve them.
struct RouteDeclaration {
  std::string Name;
  Selector Callers;
  std::optional<Selector> Models;
  std::optional<Selector> Services;
  Selector Servers;
  std::string Class;
  Duration Deadline{};
};

/// Declares the role and models of the engines that match.
struct EngineRule {
  std::string Name;
  Selector Engines;
  Selector Models;
  EngineRole Role = EngineRole::Mixed;
};

/// The role and models that an engine should have.
struct DesiredEngineState {
  EngineRole Role = EngineRole::Mixed;
  std::vector<ModelName> Models;
  auto operator==(DesiredEngineState const &) const -> bool = default;
};

/// A route with its selectors resolved to names and to indices of engines and
/// servers.
struct CompiledRoute {
  RouteDeclaration Declaration;
  std::set<CallerName> Callers;
  std::set<ModelName> Models;
  std::set<ServiceName> Services;
  std::vector<std::size_t> Engines;
  std::vector<std::size_t> Servers;
  /// Whether the route uses an engine, by index of the engine.
  std::vector<bool> UsesEngine;
};

/// A point of an engine on the consistent hashing ring of prompt prefixes.
struct RingPoint {
  std::uint64_t Position = 0;
  std::size_t Engine = 0;
  auto operator<=>(RingPoint const &) const = default;
};

/// An accepted configuration, compiled once per revision and immutable.
/// Thread safety: const methods from any thread.
class FleetConfiguration {
public:
  /// Parses, validates and compiles \p Text.
  /// Errors: dotterel::Error InvalidConfiguration with one line per error.
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
  /// Returns one line for each probable mistake: selectors that match nothing
  /// and rules or routes that overlap.
  [[nodiscard]] auto warnings() const -> std::vector<std::string> const & {
    return Warnings;
  }

  /// Returns the points of all engines, in order of position. Adding or
  /// removing an engine moves only the prefixes next to its points.
  [[nodiscard]] auto ring() const -> std::vector<RingPoint> const & {
    return Ring;
  }

  [[nodiscard]] auto findEngine(EngineId const &Id) const
      -> EngineDeclaration const *;
  [[nodiscard]] auto findService(ServiceName const &Name) const
      -> ServiceDeclaration const *;
  [[nodiscard]] auto hasModel(ModelName const &Name) const -> bool;
  /// Returns the share of \p Name, or 1 if it is not declared.
  [[nodiscard]] auto share(CallerName const &Name) const -> double;

  /// Returns the first route that admits the caller to the model, or null. A
  /// caller that is not declared matches selectors as if it had no labels.
  [[nodiscard]] auto findModelRoute(CallerName const &Caller,
                                    ModelName const &Model) const
      -> CompiledRoute const *;
  /// As findModelRoute, for a service.
  [[nodiscard]] auto findServiceRoute(CallerName const &Caller,
                                      ServiceName const &Service) const
      -> CompiledRoute const *;

  /// Returns the state that the first matching rule declares for \p Id, if any.
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
