/// \file
/// Shared by the stand-ins. Not part of the product.
#pragma once

#include "LibNet/HttpServer.h"

#include <nlohmann/json.hpp>

namespace dotterel::standin {

using nlohmann::json;

/// Options of a stand-in, from its command line.
struct StandinOptions {
  std::string Listen;
  std::string Name;
  std::string Platform;
  bool ChecksFencing = false;
  double PrefillTokensPerSecond = 20000;
  int DecodeMs = 5;
  int ReportLagMs = 100;
  int RoleChangeMs = 500;
  int ListLagMs = 500;
  std::string Models;
};

/// Responds with \p Body as JSON.
inline auto respondJson(HttpExchange &Exchange, unsigned Status,
                        json const &Body) -> Awaitable<void> {
  co_await Exchange.respond({Status, "application/json", {}, Body.dump()});
}

/// Parses the body of the request; returns an empty object if it is not a
/// JSON object.
inline auto parseBody(HttpExchange &Exchange) -> json {
  auto body = json::parse(Exchange.body(), nullptr, false);
  return body.is_object() ? body : json::object();
}

inline auto makeRefusal(ResultCode Code) -> HttpResponse {
  return {describe(Code).HttpStatus, "text/plain", {}, ""};
}

/// The two parts of a path after its prefix; the second may be empty.
struct PathNames {
  std::string First;
  std::string Second;
};

/// Splits the part of \p Path after \p Prefix at its first slash.
/// Precondition: \p Path starts with \p Prefix.
inline auto splitPath(std::string_view Path, std::string_view Prefix)
    -> PathNames {
  auto remainder = Path.substr(Prefix.size());
  auto slash = remainder.find('/');
  if (slash == std::string_view::npos)
    return {std::string(remainder), ""};
  return {std::string(remainder.substr(0, slash)),
          std::string(remainder.substr(slash + 1))};
}

} // namespace dotterel::standin
