/// \file
/// Takes JSON text apart without parsing its values, so that one value that
/// cannot be read does not make the others unreadable.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace dotterel {

/// A member of a JSON object.
struct JsonMember {
  /// The name without its quotes; escapes are not decoded.
  std::string_view Name;
  /// The name as it stands in the text.
  std::string_view QuotedName;
  /// The text of the value.
  std::string_view Value;
};

/// Returns the members of the object \p Text, up to the first place at which it
/// is not one, or std::nullopt if \p Text does not begin an object. Values may
/// be anything with matching brackets and quotes. The views refer to \p Text.
/// Thread safety: any thread.
[[nodiscard]] auto splitJsonObject(std::string_view Text)
    -> std::optional<std::vector<JsonMember>>;

/// Returns the elements of the array \p Text; otherwise like splitJsonObject.
/// Thread safety: any thread.
[[nodiscard]] auto splitJsonArray(std::string_view Text)
    -> std::optional<std::vector<std::string_view>>;

/// Returns the text of the member \p Name, or an empty view if there is none.
/// Thread safety: any thread.
[[nodiscard]] auto findJsonMember(std::span<JsonMember const> Members,
                                  std::string_view Name) -> std::string_view;

/// Parses \p Text. Returns a discarded value if it is not JSON, or nested too
/// deeply: each level takes far more memory than its text.
/// Thread safety: any thread.
[[nodiscard]] auto parseJson(std::string_view Text) -> nlohmann::json;

/// What could be read of a document.
struct PartialJson {
  /// Null takes the place of each value that cannot be read.
  nlohmann::json Value;
  bool IsDamaged = false;
};

/// Parses \p Text, and parts of it if it cannot be parsed as a whole.
/// Thread safety: any thread.
[[nodiscard]] auto parseReadableJson(std::string_view Text) -> PartialJson;

} // namespace dotterel
