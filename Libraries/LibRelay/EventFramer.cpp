#include "LibRelay/EventFramer.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace dotterel::relay {

namespace {

constexpr auto MaximumEventBytes = std::size_t{1} << 20U;
/// Maximum length of the line end before a blank line and the blank line
/// itself:
/// "\n\r\n".
constexpr auto EventEndBytes = std::size_t{3};

/// Returns the offset after the first blank line whose preceding line ends at
/// or after \p From, or npos.
auto findEnd(std::string_view Bytes, std::size_t From) -> std::size_t {
  for (auto n = Bytes.find('\n', From); n != std::string_view::npos;
       n = Bytes.find('\n', n + 1)) {
    auto rest = Bytes.substr(n + 1);
    if (rest.starts_with('\n'))
      return n + 2;
    if (rest.starts_with("\r\n"))
      return n + 3;
  }
  return std::string_view::npos;
}

/// Calls \p Visitor with each line of \p Text, without its end.
template <typename Callable>
auto visitLines(std::string_view Text, Callable Visitor) -> void {
  while (!Text.empty()) {
    auto const end = std::min(Text.find('\n'), Text.size());
    auto line = Text.substr(0, end);
    Text.remove_prefix(std::min(end + 1, Text.size()));
    if (line.ends_with('\r'))
      line.remove_suffix(1);
    Visitor(line);
  }
}

/// Returns whether \p Line is blank, a comment, or a field whose name has lower
/// case letters, digits and hyphens only, as all fields of event streams.
auto isField(std::string_view Line) -> bool {
  auto const name = Line.substr(0, Line.find(':'));
  return std::ranges::all_of(name, [](char it) {
    return (it >= 'a' && it <= 'z') || (it >= '0' && it <= '9') || it == '-';
  });
}

/// Reads the id of \p Target. Returns false if it is no event of the stream.
/// \p ExpectsId says whether it must have an id, unless it is a comment or sets
/// the time until a retry.
auto readEvent(StreamEvent &Target, bool ExpectsId) -> bool {
  auto isValid = true;
  auto hasContent = false;
  visitLines(Target.Bytes, [&](std::string_view Line) {
    isValid = isValid && isField(Line);
    hasContent = hasContent || !(Line.empty() || Line.starts_with(':') ||
                                 Line.starts_with("retry:"));
    if (Target.HasId || !Line.starts_with("id:"))
      return;
    Line.remove_prefix(std::min(Line.find_first_not_of(' ', 3), Line.size()));
    auto const *end = Line.data() + Line.size();
    auto parsed = std::from_chars(Line.data(), end, Target.Id);
    Target.HasId = parsed.ec == std::errc{} && parsed.ptr == end;
  });
  return isValid && (Target.HasId || !hasContent || !ExpectsId);
}

} // namespace

auto describeId(std::optional<std::uint64_t> Id) -> std::string {
  return Id ? fmt::format("{}", *Id) : "-";
}

auto isInsideEvent(std::string_view Remainder) -> bool {
  auto isInside = false;
  visitLines(Remainder, [&](std::string_view Line) {
    isInside = isInside || (!Line.empty() && !Line.starts_with(':'));
  });
  return isInside;
}

auto EventFramer::add(std::string_view Bytes) -> std::vector<StreamEvent> {
  Pending.append(Bytes);
  if (IsBroken)
    return {};
  auto events = std::vector<StreamEvent>{};
  auto begin = std::size_t{0};
  auto end = findEnd(Pending, SearchFrom);
  while (end != std::string::npos) {
    auto event = StreamEvent{};
    event.Bytes = Pending.substr(begin, end - begin);
    if (!readEvent(event, ExpectsId)) {
      IsBroken = true;
      break;
    }
    ExpectsId = ExpectsId && !event.HasId;
    events.push_back(std::move(event));
    begin = end;
    end = findEnd(Pending, begin);
  }
  Pending.erase(0, begin);
  SearchFrom = Pending.size() - std::min(Pending.size(), EventEndBytes - 1);
  return events;
}

auto EventFramer::isOverlong() const -> bool {
  return Pending.size() > MaximumEventBytes;
}

} // namespace dotterel::relay
