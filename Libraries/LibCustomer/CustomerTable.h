/// \file
/// The customers of one version of the configuration, and their keys.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dotterel {

/// A customer whose requests carry one of its keys.
struct Customer {
  std::string Name;
  /// Takes precedence over the route's priority. Zero is the most urgent.
  std::optional<std::uint32_t> Priority;
};

/// A customer with its secret keys.
struct CustomerKeys {
  dotterel::Customer Customer;
  std::vector<std::string> Keys;
};

/// Finds customers by their keys, in a time that does not depend on the number
/// of keys and does not reveal them. Immutable after construction.
/// Thread safety: const methods from any thread.
class CustomerTable {
public:
  /// A key that several customers hold belongs to none of them.
  /// Precondition: the customers have different names.
  explicit CustomerTable(std::span<CustomerKeys const> Customers);

  /// Returns the holder of \p Key, or null. Valid as long as the table.
  [[nodiscard]] auto findByKey(std::string_view Key) const -> Customer const *;

  [[nodiscard]] auto customers() const -> std::span<Customer const> {
    return Customers;
  }
  /// Returns the number of keys that belong to exactly one customer.
  [[nodiscard]] auto keyCount() const -> std::size_t { return Keys.size(); }
  /// Returns the number of keys that several customers hold.
  [[nodiscard]] auto sharedKeyCount() const -> std::size_t {
    return SharedKeys;
  }

private:
  struct KeyHolder {
    std::string Key;
    std::size_t Customer = 0;
  };

  [[nodiscard]] auto digest(std::string_view Key) const -> std::uint64_t;

  /// Differs between tables, so that callers cannot choose keys by digest.
  std::uint64_t DigestSeed;
  std::vector<Customer> Customers;
  std::unordered_multimap<std::uint64_t, KeyHolder> Keys;
  std::size_t SharedKeys = 0;
};

} // namespace dotterel
