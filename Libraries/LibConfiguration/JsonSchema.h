/// \file
/// Validation of JSON documents against JSON Schema.
#pragma once

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// A compiled JSON Schema. Thread safety: const methods from any thread.
class JsonSchema {
public:
  /// Precondition: \p SchemaText is a valid schema.
  explicit JsonSchema(std::string_view SchemaText);
  ~JsonSchema();
  JsonSchema(JsonSchema &&) noexcept;
  auto operator=(JsonSchema &&) noexcept -> JsonSchema &;
  JsonSchema(JsonSchema const &) = delete;
  auto operator=(JsonSchema const &) -> JsonSchema & = delete;

  /// Returns one line for each violation, with the field, its value and what is
  /// allowed; empty if \p Document conforms.
  [[nodiscard]] auto violations(nlohmann::json const &Document) const
      -> std::vector<std::string>;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel
