/// \file
/// What the stand-ins share. None of this ships.
#pragma once

#include "LibNet/HttpServer.h"

#include <nlohmann/json.hpp>

namespace dotterel::standin {

using nlohmann::json;

/// Options of a stand-in, from its command line.
struct Options {
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

/// Answers with \p Body as JSON.
inline auto respondJson(HttpExchange &Target, unsigned Status, json const &Body)
    -> Awaitable<void> {
  co_await Target.respond({Status, "application/json", {}, Body.dump()});
}

/// Parses the body; an object without fields if it is not a JSON object.
inline auto parseBody(HttpExchange &Target) -> json {
  auto body = json::parse(Target.body(), nullptr, false);
  return body.is_object() ? body : json::object();
}

inline auto refuse(ResultCode Code) -> HttpResponse {
  return {describe(Code).HttpStatus, "text/plain", {}, ""};
}

/// Splits "/a/b/c" after \p Prefix into at most two names.
struct PathNames {
  std::string First;
  std::string Second;
};

inline auto namesAfter(std::string_view Path, std::string_view Prefix)
    -> PathNames {
  auto rest = Path.substr(Prefix.size());
  auto slash = rest.find('/');
  if (slash == std::string_view::npos)
    return {std::string(rest), ""};
  return {std::string(rest.substr(0, slash)),
          std::string(rest.substr(slash + 1))};
}

} // namespace dotterel::standin
