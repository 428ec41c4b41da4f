#include "LibInstance/EventStream.h"

#include <charconv>

namespace dotterel {

namespace {

constexpr auto MaximumEventBytes = std::size_t{1} << 20U;

auto takeLine(std::string_view &Text) -> std::string_view {
  auto end = std::min(Text.find('\n'), Text.size());
  auto line = Text.substr(0, end);
  Text.remove_prefix(std::min(end + 1, Text.size()));
  if (line.ends_with('\r'))
    line.remove_suffix(1);
  return line;
}

auto fieldValue(std::string_view Line, std::string_view Name)
    -> std::optional<std::string_view> {
  if (!Line.starts_with(Name))
    return std::nullopt;
  auto value = Line.substr(Name.size());
  if (value.starts_with(' '))
    value.remove_prefix(1);
  return value;
}

auto parseEvent(std::string_view Text) -> StreamEvent {
  auto event = StreamEvent{};
  while (!Text.empty()) {
    auto line = takeLine(Text);
    if (auto id = fieldValue(line, "id:")) {
      auto number = std::uint32_t{0};
      auto const *end = id->data() + id->size();
      auto result = std::from_chars(id->data(), end, number);
      if (result.ec == std::errc{} && result.ptr == end)
        event.Id = number;
    }
    if (auto data = fieldValue(line, "data:"))
      event.Data.append(event.Data.empty() ? "" : "\n").append(*data);
  }
  return event;
}

} // namespace

auto EventStreamParser::next() -> std::optional<StreamEvent> {
  auto end = Buffer.find("\n\n");
  if (end == std::string::npos)
    return std::nullopt;
  auto event = parseEvent(std::string_view(Buffer).substr(0, end));
  Buffer.erase(0, end + 2);
  return event;
}

auto EventStreamParser::isOverlong() const -> bool {
  return Buffer.size() > MaximumEventBytes;
}

} // namespace dotterel
