#include "LibConfiguration/JsonText.h"

#include <algorithm>
#include <array>

namespace dotterel {

namespace {

/// Levels of arrays and objects that a document may have.
constexpr auto MaximumDepth = std::size_t{64};
/// Levels down to which the parts of an unreadable document are parsed by
/// themselves; each level parses them once more.
constexpr auto MaximumSplits = 4U;
constexpr auto Whitespace = std::string_view{" \t\r\n"};

/// Tells for each character whether it begins or ends values.
constexpr auto IsDelimiter = [] {
  auto table = std::array<bool, 256>{};
  for (auto it : std::string_view{"\"[]{},"})
    table[static_cast<unsigned char>(it)] = true;
  return table;
}();

/// Returns the offset of the first delimiter from \p At on, or npos. Pages are
/// searched more than once, so this is faster than find_first_of.
auto findDelimiter(std::string_view Text, std::size_t At) -> std::size_t {
  for (; At < Text.size(); ++At) {
    if (IsDelimiter[static_cast<unsigned char>(Text[At])])
      return At;
  }
  return std::string_view::npos;
}

auto skipWhitespace(std::string_view Text, std::size_t At) -> std::size_t {
  return std::min(Text.find_first_not_of(Whitespace, At), Text.size());
}

/// Returns the offset after the string that begins at \p At, or npos if it has
/// no end.
auto skipString(std::string_view Text, std::size_t At) -> std::size_t {
  for (auto n = Text.find_first_of("\"\\", At + 1); n != std::string_view::npos;
       n = Text.find_first_of("\"\\", n)) {
    if (Text[n] == '"')
      return n + 1;
    n += 2;
  }
  return std::string_view::npos;
}

/// Returns the offset after the value that begins at \p At, or npos if it has
/// no end.
auto skipValue(std::string_view Text, std::size_t At) -> std::size_t {
  auto depth = std::size_t{0};
  for (auto n = findDelimiter(Text, At); n != std::string_view::npos;
       n = findDelimiter(Text, n)) {
    switch (Text[n]) {
    case '"':
      n = skipString(Text, n);
      if (n == std::string_view::npos)
        return n;
      break;
    case '[':
    case '{':
      ++depth;
      ++n;
      break;
    case ',':
      if (depth == 0)
        return n;
      ++n;
      break;
    default:
      // The bracket that ends the enclosing array or object.
      if (depth == 0)
        return n;
      --depth;
      ++n;
    }
  }
  return std::string_view::npos;
}

auto trim(std::string_view Text) -> std::string_view {
  auto const end = Text.find_last_not_of(Whitespace);
  return end == std::string_view::npos ? std::string_view{}
                                       : Text.substr(0, end + 1);
}

/// Passes the values of the array or object \p Text to \p Visitor, with the
/// names of members. Returns false if \p Text does not begin with \p Open.
template <typename Callable>
auto visitValues(std::string_view Text, char Open, Callable Visitor) -> bool {
  auto n = skipWhitespace(Text, 0);
  if (n >= Text.size() || Text[n] != Open)
    return false;
  do {
    n = skipWhitespace(Text, n + 1);
    auto name = std::string_view{};
    if (Open == '{') {
      if (n >= Text.size() || Text[n] != '"')
        return true;
      auto const end = skipString(Text, n);
      if (end == std::string_view::npos)
        return true;
      name = Text.substr(n, end - n);
      n = skipWhitespace(Text, end);
      if (n >= Text.size() || Text[n] != ':')
        return true;
      n = skipWhitespace(Text, n + 1);
    }
    auto const end = skipValue(Text, n);
    if (end == std::string_view::npos)
      return true;
    auto const value = trim(Text.substr(n, end - n));
    // Nothing stands before the end of an empty array.
    if (!value.empty() || Text[end] == ',')
      Visitor(name, value);
    n = end;
  } while (Text[n] == ',');
  return true;
}

auto isNestedTooDeeply(std::string_view Text) -> bool {
  auto depth = std::size_t{0};
  for (auto n = findDelimiter(Text, 0); n != std::string_view::npos;
       n = findDelimiter(Text, n)) {
    if (Text[n] == '"') {
      n = skipString(Text, n);
      if (n == std::string_view::npos)
        return false;
      continue;
    }
    if (Text[n] == '[' || Text[n] == '{') {
      if (++depth > MaximumDepth)
        return true;
    } else if (Text[n] != ',' && depth > 0) {
      --depth;
    }
    ++n;
  }
  return false;
}

auto parseParts(std::string_view Text, unsigned Splits) -> nlohmann::json {
  auto value = parseJson(Text);
  if (!value.is_discarded())
    return value;
  if (Splits == 0)
    return nullptr;
  if (auto const members = splitJsonObject(Text)) {
    auto object = nlohmann::json::object();
    for (auto const &it : *members) {
      // A name that cannot be read names nothing that is known.
      auto const name = parseJson(it.QuotedName);
      if (name.is_string())
        object[name.get<std::string>()] = parseParts(it.Value, Splits - 1);
    }
    return object;
  }
  auto const elements = splitJsonArray(Text);
  if (!elements)
    return nullptr;
  auto array = nlohmann::json::array();
  for (auto it : *elements)
    array.push_back(parseParts(it, Splits - 1));
  return array;
}

} // namespace

auto splitJsonObject(std::string_view Text)
    -> std::optional<std::vector<JsonMember>> {
  auto members = std::vector<JsonMember>{};
  auto isObject = visitValues(
      Text, '{', [&](std::string_view Name, std::string_view Value) {
        members.push_back({Name.substr(1, Name.size() - 2), Name, Value});
      });
  if (!isObject)
    return std::nullopt;
  return members;
}

auto splitJsonArray(std::string_view Text)
    -> std::optional<std::vector<std::string_view>> {
  auto elements = std::vector<std::string_view>{};
  auto isArray = visitValues(
      Text, '[', [&](std::string_view /*Name*/, std::string_view Value) {
        elements.push_back(Value);
      });
  if (!isArray)
    return std::nullopt;
  return elements;
}

auto findJsonMember(std::span<JsonMember const> Members, std::string_view Name)
    -> std::string_view {
  for (auto const &it : Members) {
    if (it.Name == Name)
      return it.Value;
  }
  return {};
}

auto parseReadableJson(std::string_view Text) -> PartialJson {
  auto value = parseJson(Text);
  if (!value.is_discarded())
    return {std::move(value), false};
  return {parseParts(Text, MaximumSplits), true};
}

auto parseJson(std::string_view Text) -> nlohmann::json {
  if (isNestedTooDeeply(Text))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  return nlohmann::json::parse(Text, nullptr, false);
}

} // namespace dotterel
