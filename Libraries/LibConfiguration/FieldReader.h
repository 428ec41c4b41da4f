/// \file
/// Typed access to settings documents that are validated against a JSON Schema.
#pragma once

#include "LibCore/Time.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace dotterel {

/// Returns a Markdown table of the fields of \p Schema.
[[nodiscard]] auto describeSchema(std::string_view Schema) -> std::string;

/// A settings document that conforms to a schema. Fields that it omits have the
/// schema's defaults. Thread safety: const methods from any thread.
class FieldReader {
public:
  /// Parses \p Text and validates it against \p Schema.
  /// Errors: dotterel::Error InvalidSettings with one line per violation.
  FieldReader(std::string_view Text, std::string_view Schema);

  /// Returns field \p Name, or its default if the document omits it.
  /// Precondition: the schema declares the field, as required or with a
  /// default.
  template <typename T>
  [[nodiscard]] auto read(std::string const &Name) const -> T {
    if (Document.contains(Name))
      return Document.at(Name).get<T>();
    return Properties.at(Name).at("default").get<T>();
  }

  /// Returns whether the document contains field \p Name.
  [[nodiscard]] auto contains(std::string const &Name) const -> bool {
    return Document.contains(Name);
  }

  /// Returns field \p Name as a duration in milliseconds. Precondition: as
  /// read.
  [[nodiscard]] auto readMilliseconds(std::string const &Name) const
      -> Duration {
    return std::chrono::milliseconds(read<std::int64_t>(Name));
  }

private:
  nlohmann::json Document;
  nlohmann::json Properties;
};

} // namespace dotterel
