#include "LibRelay/Access.h"

namespace dotterel::relay {

auto checkAccess(Configuration const &Config, Route const &MatchedRoute,
                 Credentials const &Offered) -> Access {
  auto const *customers = Config.customers();
  if (customers == nullptr)
    return {};
  if (Offered.IsInvalid)
    return {nullptr, ResultCode::UnknownKey};
  if (!Offered.Key && MatchedRoute.IsPublic)
    return {};
  auto const *holder =
      Offered.Key ? customers->findByKey(*Offered.Key) : nullptr;
  if (holder == nullptr)
    return {nullptr, ResultCode::UnknownKey};
  return {holder, std::nullopt};
}

} // namespace dotterel::relay
