#include "LibPeer/Codec.h"

#include <rapidcheck.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

auto roundTrip(PeerMessage const &Message) -> PeerMessage {
  return decodePeerMessage(encodePeerMessage(Message)).value();
}

} // namespace

Test(Codec, HeartbeatRoundTrips) {
  auto sent = PeerHeartbeat{};
  sent.Run = 0xffffffffffffffffULL;
  sent.Configuration = 9;
  sent.IsLeaving = true;
  sent.CanReachObjectApi = true;
  sent.OutstandingCalls = 17;
  sent.KeyPrefix = "i00e1.";
  sent.Announcements = {{ShardName("s"), 3, {{EngineId("e"), 5}}}};
  sent.AcknowledgedDrains = {{EngineId("e"), 5}};
  sent.Releases = {{ShardName("t"), 4}};
  auto received = std::get<PeerHeartbeat>(roundTrip(sent));
  cr_assert_eq(received.Run, sent.Run);
  cr_assert_eq(received.Configuration, 9);
  cr_assert(received.IsLeaving && received.CanReachObjectApi);
  cr_assert_eq(received.OutstandingCalls, 17);
  cr_assert(received.KeyPrefix == sent.KeyPrefix);
  cr_assert_eq(received.Announcements.at(0).Fencing, 3);
  cr_assert(received.Announcements.at(0).Drains == sent.AcknowledgedDrains);
  cr_assert(received.AcknowledgedDrains == sent.AcknowledgedDrains);
  cr_assert_eq(received.Releases.at(0).Fencing, 4);
}

Test(Codec, ForwardedCallsAndResponsesRoundTrip) {
  cr_assert(rc::check([](std::string const &Body, std::uint64_t Call) {
    auto sent = ForwardedCall{};
    sent.Call = Call;
    sent.Key = IdempotencyKey("key");
    sent.TimeLeft = 1500ms;
    sent.Body = Body;
    auto received = std::get<ForwardedCall>(roundTrip(sent));
    RC_ASSERT(received.Call == Call);
    RC_ASSERT(received.Body == Body);
    RC_ASSERT(received.TimeLeft == sent.TimeLeft);
    auto response = ForwardedResponse{
        Call, 3, Outcome::NotRun, ResultCode::KeyTableFull, 503, "t", Body};
    auto decoded = std::get<ForwardedResponse>(roundTrip(response));
    RC_ASSERT(decoded.Result == Outcome::NotRun);
    RC_ASSERT(decoded.Code == ResultCode::KeyTableFull);
    RC_ASSERT(decoded.Body == Body);
  }));
}

Test(Codec, ArbitraryBytesAreRejectedOrDecoded) {
  cr_assert(rc::check([](std::vector<std::uint8_t> Bytes) {
    auto decoded = decodePeerMessage(Bytes);
    RC_SUCCEED_IF(!decoded.has_value());
    RC_ASSERT(!encodePeerMessage(*decoded).empty());
  }));
}

Test(Codec, TruncatedMessagesAreRejected) {
  auto bytes = encodePeerMessage(PeerHello{1, InstanceId("i"), 2, "key"});
  for (auto n = std::size_t{0}; n < bytes.size(); ++n)
    cr_assert_not(decodePeerMessage(std::span(bytes).first(n)).has_value());
}

Test(Codec, LengthsBeyondTheInputAreRejected) {
  // Headers of an array, a map, bytes and a text with a 64-bit length.
  for (auto type : {0x9b, 0xbb, 0x5b, 0x7b}) {
    auto bytes = std::vector<std::uint8_t>(9, 0xff);
    bytes[0] = static_cast<std::uint8_t>(type);
    cr_assert_not(decodePeerMessage(bytes).has_value());
    bytes.insert(bytes.begin(), 0x9f);
    cr_assert_not(decodePeerMessage(bytes).has_value());
  }
}

Test(Codec, DeepNestingIsRejected) {
  // json::from_cbor recurses once per level of nesting, so without a limit such
  // input overflows the stack.
  for (auto type : {0x9f, 0xbf, 0x81, 0xc1}) {
    auto bytes =
        std::vector<std::uint8_t>(4U << 20U, static_cast<std::uint8_t>(type));
    cr_assert_not(decodePeerMessage(bytes).has_value());
  }
}

Test(Codec, UnrecognizedOutcomeDecodesAsUnknown) {
  auto response = ForwardedResponse{};
  response.Result = static_cast<Outcome>(77);
  auto received = std::get<ForwardedResponse>(roundTrip(response));
  cr_assert_eq(received.Result, Outcome::Unknown);
}

} // namespace dotterel::test
