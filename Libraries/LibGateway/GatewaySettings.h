/// \file
/// Settings of a relaying instance.
#pragma once

#include "LibCore/Time.h"
#include "LibRelay/State.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dotterel {

/// Settings of one relaying instance; docs/SETTINGS.md describes each field.
struct GatewaySettings {
  relay::Identity Self;
  relay::Options Options;
  std::string ReadinessAddress;
  std::string DirectoryAddress;
  std::string StoreAddress;
  /// Empty if there are no leader.
  std::string PlatformAddress;
  std::uint16_t MetricsPort = 0;
  /// Memory and file descriptors of the machine that the instance may use.
  std::size_t MemoryMegabytes = 0;
  std::size_t Descriptors = 0;
  std::string LogLevel;

  /// Parses and validates \p Text.
  /// Errors: dotterel::Error InvalidSettings with one line per violation.
  [[nodiscard]] static auto parse(std::string_view Text) -> GatewaySettings;

  /// Reads and parses the file at \p Path. Errors: as parse.
  [[nodiscard]] static auto load(std::string const &Path) -> GatewaySettings;

  /// Returns a Markdown table of the fields.
  [[nodiscard]] static auto describeFields() -> std::string;
};

} // namespace dotterel
