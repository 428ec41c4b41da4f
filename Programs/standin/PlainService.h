/// \file
/// Stand-in for a plain service that counts executions by idempotency key.
#pragma once

#include "Support.h"

#include <map>

namespace dotterel::standin {

class PlainService {
public:
  explicit PlainService(std::string Name) : Name(std::move(Name)) {}

  auto handle(HttpExchange &Exchange) -> Awaitable<void>;

private:
  auto control(HttpExchange &Exchange) -> Awaitable<void>;

  std::string Name;
  std::map<std::string, int> Executions;
  int DelayMs = 0;
  int ResponsesToDrop = 0;
};

} // namespace dotterel::standin
