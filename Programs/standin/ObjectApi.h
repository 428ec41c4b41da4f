/// \file
/// Stand-in for the platform's object API: versions, conditional writes and
/// watches, with outages, delays and lost responses on demand.
#pragma once

#include "Support.h"

#include <map>

namespace dotterel::standin {

class ObjectApi {
public:
  /// Returns whether the path belongs to this stand-in.
  [[nodiscard]] static auto owns(std::string_view Path) -> bool;
  auto handle(HttpExchange &Exchange) -> Awaitable<void>;
  /// Applies the fields of a control request that concern this stand-in.
  auto control(json const &Body) -> void;
  [[nodiscard]] auto counts() const -> json;

private:
  struct Object {
    std::uint64_t Version = 0;
    std::string Body;
  };

  auto read(HttpExchange &Exchange, std::string const &Name) -> Awaitable<void>;
  auto write(HttpExchange &Exchange, std::string const &Name)
      -> Awaitable<void>;
  auto respondObject(HttpExchange &Exchange, unsigned Status,
                     Object const &Stored) -> Awaitable<void>;

  std::map<std::string, Object> Objects;
  bool IsUnavailable = false;
  int DelayMs = 0;
  int ResponsesToDrop = 0;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Watches = 0;
};

} // namespace dotterel::standin
