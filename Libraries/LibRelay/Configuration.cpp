#include "LibRelay/Configuration.h"

namespace dotterel::relay {

Configuration::Configuration(std::uint64_t Version,
                             std::vector<Route> NewRoutes,
                             std::vector<Service> NewServices,
                             CallerLimits Limits,
                             std::optional<CustomerTable> NewCustomers)
    : Version(Version), Routes(std::move(NewRoutes)), Limits(Limits),
      Customers(std::move(NewCustomers)) {
  for (auto n = std::size_t{0}; n < Routes.size(); ++n)
    RoutesByHost[Routes[n].Host].emplace(Routes[n].PathPrefix, n);
  for (auto &it : NewServices) {
    auto name = it.Name;
    Services.emplace(std::move(name), std::move(it));
  }
}

auto Configuration::findRoute(std::string_view Host,
                              std::string_view Path) const -> Route const * {
  auto host = RoutesByHost.find(Host);
  if (host == RoutesByHost.end())
    return nullptr;
  // Every path prefix ends with a slash, so only these prefixes can match.
  for (auto end = Path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : Path.rfind('/', end - 1)) {
    auto it = host->second.find(Path.substr(0, end + 1));
    if (it != host->second.end())
      return &Routes[it->second];
  }
  return nullptr;
}

auto Configuration::findService(std::string_view Name) const
    -> Service const * {
  auto it = Services.find(Name);
  return it == Services.end() ? nullptr : &it->second;
}

} // namespace dotterel::relay
