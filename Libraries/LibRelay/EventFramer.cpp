#include "LibRelay/EventFramer.h"

#include <algorithm>
#include <charconv>

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

auto readId(StreamEvent &Target) -> void {
  auto rest = std::string_view(Target.Bytes);
  while (!rest.empty()) {
    auto end = rest.find('\n');
    auto line = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view{}
                                         : rest.substr(end + 1);
    if (!line.starts_with("id:"))
      continue;
    line.remove_prefix(3);
    while (line.starts_with(' '))
      line.remove_prefix(1);
    auto parsed =
        std::from_chars(line.data(), line.data() + line.size(), Target.Id);
    Target.HasId = parsed.ec == std::errc{};
    return;
  }
}

} // namespace

auto isInsideEvent(std::string_view Remainder) -> bool {
  while (!Remainder.empty()) {
    auto end = std::min(Remainder.find('\n'), Remainder.size());
    auto line = Remainder.substr(0, end);
    Remainder.remove_prefix(std::min(end + 1, Remainder.size()));
    if (!line.empty() && line != "\r" && !line.starts_with(':'))
      return true;
  }
  return false;
}

auto EventFramer::add(std::string_view Bytes) -> std::vector<StreamEvent> {
  Pending.append(Bytes);
  auto events = std::vector<StreamEvent>{};
  auto begin = std::size_t{0};
  auto end = findEnd(Pending, SearchFrom);
  while (end != std::string::npos) {
    auto &event = events.emplace_back();
    event.Bytes = Pending.substr(begin, end - begin);
    readId(event);
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
