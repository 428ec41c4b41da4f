#include "LibCustomer/UsageMessage.h"

#include "LibConfiguration/JsonNumber.h"
#include "LibPeer/CborArray.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

/// First field of the message, which tells it from other datagrams.
constexpr auto Kind = 3;
constexpr auto FieldCount = std::size_t{4};
constexpr auto MaximumEntries = std::size_t{128};

auto encodePart(UsageMessage const &Message, json Counts) -> std::string {
  auto bytes = std::string{};
  json::to_cbor(json::array({Kind, Message.Incarnation, Message.Report.Window,
                             std::move(Counts)}),
                bytes);
  return bytes;
}

} // namespace

auto encodeUsage(UsageMessage const &Message) -> std::vector<std::string> {
  auto parts = std::vector<std::string>{};
  auto counts = json::array();
  for (auto const &it : Message.Report.Counts) {
    counts.push_back(it.first);
    counts.push_back(it.second);
    if (counts.size() < 2 * MaximumEntries)
      continue;
    parts.push_back(encodePart(Message, std::exchange(counts, json::array())));
  }
  if (!counts.empty())
    parts.push_back(encodePart(Message, std::move(counts)));
  return parts;
}

auto decodeUsage(std::string_view Bytes) -> std::optional<UsageMessage> {
  return readCborArray(
      Bytes, [](json const &Source) -> std::optional<UsageMessage> {
        if (Source.size() != FieldCount || readNumber<int>(Source[0]) != Kind ||
            !Source[3].is_array())
          return std::nullopt;
        auto message = UsageMessage{};
        message.Incarnation = readNumber<std::uint64_t>(Source[1]);
        message.Report.Window = readNumber<UsageWindow>(Source[2]);
        auto const &counts = Source[3];
        for (auto n = std::size_t{0}; n + 1 < counts.size(); n += 2)
          message.Report.Counts[counts[n].get<std::string>()] =
              readNumber<std::uint32_t>(counts[n + 1]);
        return message;
      });
}

} // namespace dotterel
