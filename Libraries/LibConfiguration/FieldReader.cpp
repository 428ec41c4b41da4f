#include "LibConfiguration/FieldReader.h"

#include "LibConfiguration/JsonSchema.h"
#include "LibCore/Error.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

/// Describes the values that \p Field of a schema allows. A string without
/// length limits is an address.
auto describeAllowed(nlohmann::json const &Field) -> std::string {
  if (Field.contains("enum"))
    return fmt::format("one of {}", Field.at("enum").dump());
  if (Field.at("type") == "boolean")
    return "true or false";
  if (Field.contains("minimum"))
    return fmt::format("{} from {} to {}", Field.at("type").get<std::string>(),
                       Field.at("minimum").dump(), Field.at("maximum").dump());
  if (Field.contains("minLength"))
    return fmt::format("{} to {} characters", Field.at("minLength").dump(),
                       Field.at("maxLength").dump());
  return "ip:port";
}

} // namespace

FieldReader::FieldReader(std::string_view Text, std::string_view Schema)
    : Document(nlohmann::json::parse(Text, nullptr, false)),
      Properties(nlohmann::json::parse(Schema).at("properties")) {
  if (Document.is_discarded())
    throw Error(ResultCode::InvalidSettings, "the settings are not valid JSON");
  auto violations = JsonSchema(Schema).violations(Document);
  if (!violations.empty())
    throw Error(ResultCode::InvalidSettings,
                fmt::format("{}", fmt::join(violations, "\n")));
}

auto describeSchema(std::string_view Schema) -> std::string {
  auto schema = nlohmann::json::parse(Schema);
  auto table = std::string{"| Field | Allowed | Default | Meaning |\n"
                           "| --- | --- | --- | --- |\n"};
  for (auto const &it : schema.at("properties").items()) {
    auto const &field = it.value();
    auto defaultText = field.contains("default") ? field.at("default").dump()
                                                 : std::string{"required"};
    table += fmt::format("| `{}` | {} | {} | {} |\n", it.key(),
                         describeAllowed(field), defaultText,
                         field.at("description").get<std::string>());
  }
  return table;
}

} // namespace dotterel
