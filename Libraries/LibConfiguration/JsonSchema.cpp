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

/// A place in a document, as the validator reports it.
struct DocumentPlace {
  std::string Path;
  nlohmann::json const *Value = nullptr;
};

/// Follows the validator's context ("<root>", "[name]", "[0]") into
/// \p Document.
auto locate(nlohmann::json const &Document,
            std::vector<std::string> const &Context) -> DocumentPlace {
  auto place = DocumentPlace{"", &Document};
  for (auto const &step : Context) {
    if (step.size() < 2 || step.front() != '[')
      continue;
    auto name = step.substr(1, step.size() - 2);
    place.Path += "/" + name;
    if (place.Value == nullptr)
      continue;
    if (place.Value->is_object() && place.Value->contains(name))
      place.Value = &(*place.Value)[name];
    else if (place.Value->is_array())
      place.Value = &(*place.Value)[std::stoul(name)];
    else
      place.Value = nullptr;
  }
  return place;
}

auto describeViolation(nlohmann::json const &Document,
                       valijson::ValidationResults::Error const &Violation)
    -> std::string {
  auto place = locate(Document, Violation.context);
  auto value = place.Value != nullptr ? place.Value->dump() : "missing";
  if (value.size() > MaximumShownValueBytes)
    value = value.substr(0, MaximumShownValueBytes) + "...";
  return fmt::format("field {} value {}: {}",
                     place.Path.empty() ? "/" : place.Path, value,
                     Violation.description);
}

} // namespace

struct JsonSchema::Implementation {
  valijson::Schema Schema;
};

JsonSchema::JsonSchema(std::string_view SchemaText)
    : Self(std::make_unique<Implementation>()) {
  auto document = nlohmann::json::parse(SchemaText);
  auto adapter = valijson::adapters::NlohmannJsonAdapter(document);
  valijson::SchemaParser{}.populateSchema(adapter, Self->Schema);
}

JsonSchema::~JsonSchema() = default;
JsonSchema::JsonSchema(JsonSchema &&) noexcept = default;
auto JsonSchema::operator=(JsonSchema &&) noexcept -> JsonSchema & = default;

auto JsonSchema::violations(nlohmann::json const &Document) const
    -> std::vector<std::string> {
  auto lines = std::vector<std::string>{};
  auto results = valijson::ValidationResults{};
  auto target = valijson::adapters::NlohmannJsonAdapter(Document);
  auto validator = valijson::Validator{};
  if (validator.validate(Self->Schema, target, &results))
    return lines;
  auto violation = valijson::ValidationResults::Error{};
  while (results.popError(violation))
    lines.push_back(describeViolation(Document, violation));
  return lines;
}

} // namespace dotterel
