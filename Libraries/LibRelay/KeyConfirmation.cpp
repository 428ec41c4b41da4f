#include "LibRelay/KeyConfirmation.h"

#include "LibConfiguration/JsonNumber.h"
#include "LibPeer/CborArray.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterel::relay {

namespace {

using nlohmann::json;

/// First field of a message, which tells it from other datagrams.
constexpr auto RequestKind = 4;
constexpr auto ResponseKind = 5;
constexpr auto RequestFields = std::size_t{2};
constexpr auto ResponseFields = std::size_t{4};

/// Part of the bound that is left for the difference in speed of the clocks.
constexpr auto ClockMargin = Duration{200ms};
/// Ages, as shares of the bound, at which a peer and at which the store is
/// asked. What is left covers lost datagrams and a slow store.
constexpr auto AskPeerShare = 0.35;
constexpr auto AskStoreShare = 0.6;
constexpr auto AskInterval = Duration{400ms};

auto decodeTime(json const &Source) -> Duration {
  return Duration{readNumber<std::int64_t>(Source)};
}

} // namespace

auto encodeConfirmation(ConfirmationMessage const &Message) -> std::string {
  auto fields = json::array();
  if (auto const *request = std::get_if<ConfirmationRequest>(&Message)) {
    fields = {RequestKind, request->AskedAt.count()};
  } else {
    auto const &response = std::get<ConfirmationResponse>(Message);
    fields = {ResponseKind, response.AskedAt.count(), response.Age.count(),
              response.Configuration.packed()};
  }
  auto bytes = std::string{};
  json::to_cbor(fields, bytes);
  return bytes;
}

auto decodeConfirmation(std::string_view Bytes)
    -> std::optional<ConfirmationMessage> {
  return readCborArray(
      Bytes, [](json const &Source) -> std::optional<ConfirmationMessage> {
        auto const kind = readNumber<int>(Source[0]);
        if (kind == RequestKind && Source.size() == RequestFields)
          return ConfirmationRequest{decodeTime(Source[1])};
        if (kind != ResponseKind || Source.size() != ResponseFields)
          return std::nullopt;
        return ConfirmationResponse{
            decodeTime(Source[1]), decodeTime(Source[2]),
            StoreVersion::unpacked(readNumber<std::uint64_t>(
                Source[3], 0, StoreVersion::maximumPacked()))};
      });
}

auto KeyConfirmation::confirm(Duration At) -> void {
  ConfirmedAt = std::max(ConfirmedAt.value_or(At), At);
}

auto KeyConfirmation::age(Duration SinceBoot) const -> Duration {
  return ConfirmedAt ? SinceBoot - *ConfirmedAt : Duration::max();
}

auto KeyConfirmation::isValid(Duration SinceBoot, Duration Bound) const
    -> bool {
  return age(SinceBoot) < Bound - ClockMargin;
}

auto KeyConfirmation::shouldAsk(Duration SinceBoot, Duration Bound) -> bool {
  if (age(SinceBoot) < scaled(Bound, AskPeerShare) ||
      (LastAskedAt && SinceBoot - *LastAskedAt < AskInterval))
    return false;
  LastAskedAt = SinceBoot;
  return true;
}

auto KeyConfirmation::isOverdue(Duration SinceBoot, Duration Bound) const
    -> bool {
  return age(SinceBoot) >= scaled(Bound, AskStoreShare);
}

} // namespace dotterel::relay
