/// \file
/// Bounds the memory that a process holds for its callers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace dotterel {

/// Sums what all connections of a process hold. The last quarter is kept for
/// small requests, so that large ones cannot keep them out. Thread safety:
/// none; used on one executor.
class MemoryBudget {
public:
  /// A request that holds no more than this is small.
  static constexpr auto SmallBytes = std::size_t{32} << 10U;

  explicit MemoryBudget(std::size_t Limit) : Limit(Limit) {}

  /// Takes \p Bytes for a holder that has \p Held already. Returns false, and
  /// takes nothing, if there is no room.
  [[nodiscard]] auto tryTake(std::size_t Bytes, std::size_t Held) -> bool;
  /// Precondition: the bytes were taken.
  auto give(std::size_t Bytes) -> void { Used -= Bytes; }

  /// Returns whether large requests find no more room soon.
  [[nodiscard]] auto isScarce() const -> bool {
    return Used > largeLimit() / 2;
  }
  [[nodiscard]] auto used() const -> std::size_t { return Used; }
  [[nodiscard]] auto limit() const -> std::size_t { return Limit; }
  /// Returns how often there was no room.
  [[nodiscard]] auto refusals() const -> std::uint64_t { return Refusals; }

private:
  [[nodiscard]] auto largeLimit() const -> std::size_t {
    return Limit - Limit / 4;
  }

  std::size_t Limit;
  std::size_t Used = 0;
  std::uint64_t Refusals = 0;
};

/// What one holder has taken from a budget; returned when it is destroyed.
/// Thread safety: as the budget.
class MemoryCharge {
public:
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> Budget)
      : Budget(std::move(Budget)) {}
  ~MemoryCharge() { Budget->give(Bytes); }
  MemoryCharge(MemoryCharge const &) = delete;
  auto operator=(MemoryCharge const &) -> MemoryCharge & = delete;

  /// Takes \p More bytes. Returns false if the budget has no room.
  [[nodiscard]] auto grow(std::size_t More) -> bool;
  [[nodiscard]] auto bytes() const -> std::size_t { return Bytes; }

private:
  std::shared_ptr<MemoryBudget> Budget;
  std::size_t Bytes = 0;
};

} // namespace dotterel
