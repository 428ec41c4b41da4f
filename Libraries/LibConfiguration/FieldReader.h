/// \file
/// Reading of settings files: checked against a schema, with its defaults.
#pragma once

#include "LibCore/Time.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace dotterel {

/// Returns a table of the fields of \p Schema, in Markdown.
[[nodiscard]] auto describeSchema(std::string_view Schema) -> std::string;

/// A settings file that conforms to a schema. Fields that it leaves out have
/// the schema's defaults. Thread safety: const methods from any thread.
class FieldReader {
public:
  /// Parses \p Text and checks it against \p Schema.
  /// Errors: dotterel::Error InvalidSettings with one line per violation.
  FieldReader(std::string_view Text, std::string_view Schema);

  template <typename T>
  [[nodiscard]] auto read(std::string const &Name) const -> T {
    if (Document.contains(Name))
      return Document.at(Name).get<T>();
    return Properties.at(Name).at("default").get<T>();
  }

  [[nodiscard]] auto readMilliseconds(std::string const &Name) const
      -> Duration {
    return std::chrono::milliseconds(read<std::int64_t>(Name));
  }

private:
  nlohmann::json Document;
  nlohmann::json Properties;
};

} // namespace dotterel
