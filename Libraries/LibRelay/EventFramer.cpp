#include "LibRelay/EventFramer.h"

#include <algorithm>
#include <charconv>

namespace dotterel::relay {

namespace {

/// Returns the offset after the blank line that ends the first event, or npos.
auto findEnd(std::string_view Bytes) -> std::size_t {
  for (auto n = Bytes.find('\n'); n != std::string_view::npos;
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
  while (true) {
    auto n = findEnd(std::string_view(Pending).substr(begin));
    if (n == std::string_view::npos)
      break;
    auto &event = events.emplace_back();
    event.Bytes = Pending.substr(begin, n);
    readId(event);
    begin += n;
  }
  Pending.erase(0, begin);
  return events;
}

} // namespace dotterel::relay
