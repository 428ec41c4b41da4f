/// \file
/// Settings of one instance, read from a JSON file at startup.
#pragma once

#include "LibCore/Identifier.h"
#include "LibCore/Time.h"

#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// Limits on callers' requests and connections.
struct InputLimits {
  std::size_t BodyBytes = 0;
  std::size_t HeaderBytes = 0;
  std::size_t Connections = 0;
  Duration RequestReadTimeout{};
  Duration WriteTimeout{};
};

/// Settings of one instance; docs/SETTINGS.md lists each field.
struct Settings {
  InstanceId Instance;
  FailureDomain Domain;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string ObjectApiAddress;
  std::string PeerKey;
  std::string LogLevel;
  InputLimits Limits;
  Duration LeaseDuration{};
  Duration LeaveGrace{};
  double MaximumClockDrift = 0;

  /// Parses and validates \p Text.
  /// Errors: dotterel::Error InvalidSettings with one line per violation.
  [[nodiscard]] static auto parse(std::string_view Text) -> Settings;

  /// Reads and parses the file at \p Path. Errors: as parse and readFile.
  [[nodiscard]] static auto load(std::string const &Path) -> Settings;

  /// Returns a Markdown table of the fields, generated from the schema that
  /// parse applies.
  [[nodiscard]] static auto describeFields() -> std::string;
};

/// Returns the contents of a file. Errors: dotterel::Error InvalidUsage.
[[nodiscard]] auto readFile(std::string const &Path) -> std::string;

} // namespace dotterel
