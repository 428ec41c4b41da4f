#include "LibConfiguration/JsonSchema.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace dotterel {

namespace {

constexpr auto MaximumShownValueBytes = std::size_t{60};

/// Location of a violation. Value is null if the document has no such field.
struct DocumentLocation {
  std::string Path;
  nlohmann::json const *Value = nullptr;
};

/// Resolves the validator's context ("<root>", "[name]", "[0]") in
/// \p Document.
auto locate(nlohmann::json const &Document,
            std::vector<std::string> const &Context) -> DocumentLocation {
  auto location = DocumentLocation{"", &Document};
  for (auto const &element : Context) {
    if (element.size() < 2 || element.front() != '[')
      continue;
    auto name = element.substr(1, element.size() - 2);
    location.Path += "/" + name;
    if (location.Value == nullptr)
      continue;
    if (location.Value->is_object() && location.Value->contains(name))
      location.Value = &(*location.Value)[name];
    else if (location.Value->is_array())
      location.Value = &(*location.Value)[std::stoul(name)];
    else
      location.Value = nullptr;
  }
  return location;
}

auto describeViolation(nlohmann::json const &Document,
                       valijson::ValidationResults::Error const &Violation)
    -> std::string {
  auto location = locate(Document, Violation.context);
  auto value = location.Value != nullptr ? location.Value->dump() : "missing";
  if (value.size() > MaximumShownValueBytes)
    value = value.substr(0, MaximumShownValueBytes) + "...";
  return fmt::format("field {} value {}: {}",
                     location.Path.empty() ? "/" : location.Path, value,
                     Violation.description);
}

} // namespace

struct JsonSchema::Implementation {
  valijson::Schema Schema;
};

JsonSchema::JsonSchema(std::string_view SchemaText)
    : Impl(std::make_unique<Implementation>()) {
  auto document = nlohmann::json::parse(SchemaText);
  auto adapter = valijson::adapters::NlohmannJsonAdapter(document);
  valijson::SchemaParser{}.populateSchema(adapter, Impl->Schema);
}

JsonSchema::~JsonSchema() = default;
JsonSchema::JsonSchema(JsonSchema &&) noexcept = default;
auto JsonSchema::operator=(JsonSchema &&) noexcept -> JsonSchema & = default;

auto JsonSchema::violations(nlohmann::json const &Document) const
    -> std::vector<std::string> {
  auto descriptions = std::vector<std::string>{};
  auto results = valijson::ValidationResults{};
  auto target = valijson::adapters::NlohmannJsonAdapter(Document);
  auto validator = valijson::Validator{};
  if (validator.validate(Impl->Schema, target, &results))
    return descriptions;
  auto violation = valijson::ValidationResults::Error{};
  while (results.popError(violation))
    descriptions.push_back(describeViolation(Document, violation));
  return descriptions;
}

} // namespace dotterel
