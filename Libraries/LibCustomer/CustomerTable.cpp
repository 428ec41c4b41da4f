#include "LibCustomer/CustomerTable.h"

#include "LibCore/Hash.h"

#include <map>
#include <random>

namespace dotterel {

namespace {

auto randomSeed() -> std::uint64_t {
  auto device = std::random_device{};
  return (std::uint64_t{device()} << 32U) | device();
}

} // namespace

CustomerTable::CustomerTable(std::span<CustomerKeys const> Source)
    : DigestSeed(randomSeed()) {
  constexpr auto Shared = SIZE_MAX;
  auto holders = std::map<std::string_view, std::size_t>{};
  for (auto const &it : Source) {
    auto const index = Customers.size();
    Customers.push_back(it.Customer);
    for (auto const &key : it.Keys) {
      auto holder = holders.try_emplace(key, index).first;
      if (holder->second != index)
        holder->second = Shared;
    }
  }
  for (auto const &[key, index] : holders) {
    if (index == Shared)
      ++SharedKeys;
    else
      Keys.emplace(digest(key), KeyHolder{std::string(key), index});
  }
}

auto CustomerTable::findByKey(std::string_view Key) const -> Customer const * {
  auto const [begin, end] = Keys.equal_range(digest(Key));
  for (auto it = begin; it != end; ++it) {
    if (equalsInConstantTime(it->second.Key, Key))
      return &Customers[it->second.Customer];
  }
  return nullptr;
}

auto CustomerTable::digest(std::string_view Key) const -> std::uint64_t {
  return hashText(Key, DigestSeed);
}

} // namespace dotterel
