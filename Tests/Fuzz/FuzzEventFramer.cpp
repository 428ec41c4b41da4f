/// \file
/// Fuzzes the splitting of an event stream. The first byte sets how many bytes
/// arrive at a time; the events must not depend on it.
#include "LibRelay/EventFramer.h"

#include <algorithm>
#include <cstdlib>

namespace {

using dotterel::relay::EventFramer;
using dotterel::relay::StreamEvent;

auto frame(std::string_view Bytes, std::size_t PartBytes, EventFramer &Output)
    -> std::vector<StreamEvent> {
  auto events = std::vector<StreamEvent>{};
  while (!Bytes.empty()) {
    for (auto &it : Output.add(Bytes.substr(0, PartBytes)))
      events.push_back(std::move(it));
    Bytes.remove_prefix(std::min(PartBytes, Bytes.size()));
  }
  return events;
}

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(std::uint8_t const *Data,
                                       std::size_t Size) -> int {
  if (Size == 0)
    return 0;
  auto bytes =
      std::string_view(reinterpret_cast<char const *>(Data), Size).substr(1);
  auto whole = EventFramer{};
  auto parts = EventFramer{};
  auto expected = frame(bytes, std::max(bytes.size(), std::size_t{1}), whole);
  auto events = frame(bytes, Data[0] % 16U + 1, parts);
  auto forwarded = std::string{};
  if (events.size() != expected.size())
    std::abort();
  for (auto n = std::size_t{0}; n < events.size(); ++n) {
    if (events[n].Bytes != expected[n].Bytes || events[n].Id != expected[n].Id)
      std::abort();
    forwarded += events[n].Bytes;
  }
  if (forwarded + parts.remainder() != bytes)
    std::abort();
  if (dotterel::relay::isInsideEvent(parts.remainder()) !=
      dotterel::relay::isInsideEvent(whole.remainder()))
    std::abort();
  return 0;
}
