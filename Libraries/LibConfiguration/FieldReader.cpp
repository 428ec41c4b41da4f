#include "LibConfiguration/FieldReader.h"

#include "LibConfiguration/JsonSchema.h"
#include "LibCore/Error.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

/// Says in words what a field of the schema takes.
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
    throw Error(ResultCode::InvalidSettings, "the file is not valid JSON");
  auto lines = JsonSchema(Schema).violations(Document);
  if (!lines.empty())
    throw Error(ResultCode::InvalidSettings,
                fmt::format("{}", fmt::join(lines, "\n")));
}

auto describeSchema(std::string_view Schema) -> std::string {
  auto schema = nlohmann::json::parse(Schema);
  auto table = std::string{"| Field | Allowed | Default | Meaning |\n"
                           "| --- | --- | --- | --- |\n"};
  for (auto const &it : schema.at("properties").items()) {
    auto const &field = it.value();
    auto fallback = field.contains("default") ? field.at("default").dump()
                                              : std::string{"required"};
    table += fmt::format("| `{}` | {} | {} | {} |\n", it.key(),
                         describeAllowed(field), fallback,
                         field.at("description").get<std::string>());
  }
  return table;
}

} // namespace dotterel
