/// \file
/// Configuration of relayed requests: routes, services and limits on callers.
#pragma once

#include "LibCore/Time.h"
#include "LibCustomer/CustomerTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dotterel::relay {

/// Properties of the engines that serve a service.
struct EngineTraits {
  /// Maximum number of requests in one batch.
  std::uint32_t Slots = 1;
  double KvCacheBytesPerToken = 0;
  double LinkMegabitsPerSecond = 0;
  /// Cached prefixes can be copied between engines.
  bool SupportsCacheTransfer = false;
};

/// How the number of a service's servers can be changed.
struct ScaleTraits {
  /// Bounds on the servers in each failure domain.
  std::uint32_t Minimum = 0;
  std::uint32_t Maximum = 0;
  /// Time from an order until the new servers serve.
  Duration StartTime{};
  /// Price of a second of a reclaimable server, as a share of the price of
  /// other servers; none if there are no reclaimable ones.
  std::optional<double> ReclaimablePrice;
  /// Price of a second of a server by failure domain.
  std::map<std::string, double, std::less<>> DomainPrices;
};

/// A group of backend servers that serve the same requests.
struct Service {
  std::string Name;
  /// Connections that one server accepts from all instances together.
  std::uint32_t ConnectionLimit = 0;
  /// Set for language models.
  std::optional<EngineTraits> Engine;
  /// Set if the number of servers can be ordered.
  std::optional<ScaleTraits> Scale;
};

/// A service and its share of a route's requests.
struct WeightedService {
  std::string Service;
  double Weight = 1;
};

/// Requests with one host and path prefix, and how they are served.
struct Route {
  std::string Name;
  std::string Host;
  std::string PathPrefix;
  bool IsStream = false;
  /// The request may run more than once.
  bool IsIdempotent = false;
  /// An interrupted stream may be resumed at another server.
  bool IsResumable = false;
  /// Longest time for which a caller is kept waiting.
  Duration Timeout{};
  /// Target for the time to the response or, for streams, to its first part.
  Duration TargetLatency{};
  /// Target for the longest pause between two parts of a stream.
  Duration TargetGap{};
  /// Zero is the most urgent.
  std::uint32_t Priority = 0;
  /// Maximum number of servers that one request may be sent to.
  std::uint32_t MaximumServers = 1;
  std::vector<WeightedService> Services;
  /// Requests need no key of a customer.
  bool IsPublic = false;
};

/// Limits on the size of requests and on the time that callers take.
struct CallerLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 4194304;
  Duration HeaderTimeout = 3s;
  Duration IdleTimeout = 15s;
};

/// One version of the configuration. Immutable after construction.
/// Thread safety: const methods from any thread.
class Configuration {
public:
  Configuration() = default;
  Configuration(std::uint64_t Version, std::vector<Route> Routes,
                std::vector<Service> Services, CallerLimits Limits,
                std::optional<CustomerTable> Customers = std::nullopt);

  [[nodiscard]] auto version() const -> std::uint64_t { return Version; }
  [[nodiscard]] auto limits() const -> CallerLimits const & { return Limits; }
  [[nodiscard]] auto routes() const -> std::span<Route const> { return Routes; }

  [[nodiscard]] auto services() const
      -> std::map<std::string, Service, std::less<>> const & {
    return Services;
  }

  /// Returns the customers, or null if requests need no keys.
  [[nodiscard]] auto customers() const -> CustomerTable const * {
    return Customers ? &*Customers : nullptr;
  }

  /// Returns the route of \p Host with the longest prefix that matches \p Path,
  /// or null. Precondition: \p Path has no query.
  [[nodiscard]] auto findRoute(std::string_view Host,
                               std::string_view Path) const -> Route const *;

  /// Returns the service, or null.
  [[nodiscard]] auto findService(std::string_view Name) const
      -> Service const *;

private:
  struct TextHash {
    using is_transparent = void; // NOLINT: name given by the library
    auto operator()(std::string_view Text) const -> std::size_t {
      return std::hash<std::string_view>{}(Text);
    }
  };
  using RoutesByPrefix =
      std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>>;

  std::uint64_t Version = 0;
  std::vector<Route> Routes;
  std::unordered_map<std::string, RoutesByPrefix, TextHash, std::equal_to<>>
      RoutesByHost;
  std::map<std::string, Service, std::less<>> Services;
  CallerLimits Limits;
  std::optional<CustomerTable> Customers;
};

} // namespace dotterel::relay
