/// \file
/// Points in the history of the store.
#pragma once

#include <compare>
#include <cstdint>

namespace dotterel::relay {

/// A revision of the store within one era. The era rises when the store is
/// restored from a copy; the revisions since the copy was made are then
/// assigned again. There is no conversion from integers, so that revisions of
/// different eras cannot be compared by accident. Thread safety: safe from any
/// thread.
class StoreVersion {
public:
  /// Largest values for which packed is exact, also in JSON.
  static constexpr auto MaximumRevision = (std::uint64_t{1} << 40U) - 1;
  static constexpr auto MaximumEra = (std::uint64_t{1} << 13U) - 1;

  constexpr StoreVersion() = default;
  constexpr StoreVersion(std::uint64_t Era, std::uint64_t Revision)
      : Era(Era), Revision(Revision) {}

  [[nodiscard]] constexpr auto era() const -> std::uint64_t { return Era; }
  [[nodiscard]] constexpr auto revision() const -> std::uint64_t {
    return Revision;
  }

  /// Returns a number that rises with the version, also over eras.
  /// Precondition: neither is above its maximum.
  [[nodiscard]] constexpr auto packed() const -> std::uint64_t {
    return (Era << RevisionBits) + Revision;
  }

  /// Returns the version of a number that packed returned.
  [[nodiscard]] static constexpr auto unpacked(std::uint64_t Number)
      -> StoreVersion {
    return {Number >> RevisionBits,
            Number & ((std::uint64_t{1} << RevisionBits) - 1)};
  }

  /// Returns the largest number that packed returns.
  [[nodiscard]] static constexpr auto maximumPacked() -> std::uint64_t {
    return StoreVersion(MaximumEra, MaximumRevision).packed();
  }

  constexpr auto operator<=>(StoreVersion const &) const = default;

private:
  static constexpr auto RevisionBits = 40U;

  std::uint64_t Era = 0;
  std::uint64_t Revision = 0;
};

} // namespace dotterel::relay
