#include "LibRelay/FleetTraffic.h"

#include <cstdlib>
#include <fmt/format.h>

namespace dotterel::relay::test {

namespace {

/// Last part of the address of the first caller of crashing requests. Sound
/// callers have lower ones.
constexpr auto FirstCrashingCaller = 66U;

} // namespace

auto firstSeed() -> std::uint64_t {
  auto const *text = std::getenv("DOTTEREL_SEED"); // NOLINT: one thread
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

PromptTraffic::PromptTraffic(EngineFleet &Fleet, std::uint64_t Seed,
                             Duration Interval)
    : Fleet(Fleet), Random(Seed), SoundInterval(Interval) {
  sendSound();
}

auto PromptTraffic::startCrashing(Duration Interval) -> void {
  Fleet.send({.Segments = makePrompt(true)});
  Fleet.schedule(scaled(Interval, static_cast<double>(draw(500, 1500)) / 1000),
                 [=, this] { startCrashing(Interval); });
}

auto PromptTraffic::draw(std::uint64_t From, std::uint64_t To)
    -> std::uint64_t {
  return std::uniform_int_distribution<std::uint64_t>(From, To)(Random);
}

auto PromptTraffic::makePrompt(bool IsCrashing) -> std::vector<PromptSegment> {
  constexpr auto Applications = 3;
  constexpr auto Subjects = 60;
  auto application = draw(1, Applications);
  auto segments = std::vector<PromptSegment>{
      {application, 2000},
      {Subjects * application + draw(0, Subjects - 1), 800}};
  if (IsCrashing) {
    auto position = static_cast<std::ptrdiff_t>(draw(1, 2));
    segments.insert(segments.begin() + position, {CrashingSegment, 400});
  }
  constexpr auto FirstUnique = std::uint64_t{1} << 32U;
  segments.push_back({FirstUnique + ++UniqueSegments, 300});
  return segments;
}

auto PromptTraffic::sendSound() -> void {
  Fleet.send({.Segments = makePrompt(false)});
  Fleet.schedule(SoundInterval, [this] { sendSound(); });
}

MixedTraffic::MixedTraffic(EngineFleet &Fleet, std::uint64_t Seed)
    : Fleet(Fleet), Random(Seed), Prompts(Fleet, Seed, Duration{12ms}) {
  sendPlain();
}

auto MixedTraffic::crashingCall(RouteKind Route, unsigned Number) -> FleetCall {
  auto call = FleetCall{Route,
                        Number == 0 ? "bad" : fmt::format("bad{}", Number),
                        "",
                        {},
                        fmt::format("10.0.0.{}", FirstCrashingCaller + Number)};
  if (Route == RouteKind::Stream || Route == RouteKind::PlainStream)
    call.Segments = {
        {1, 2000}, {60 + Number, 800}, {CrashingSegment + Number, 300}};
  return call;
}

auto MixedTraffic::startCrashing(RouteKind Route, Duration Interval) -> void {
  startSending(crashingCall(Route), Interval);
}

auto MixedTraffic::startSending(FleetCall const &Call, Duration Interval)
    -> void {
  Fleet.send(Call);
  Fleet.schedule(varied(Interval), [=, this] { startSending(Call, Interval); });
}

auto MixedTraffic::startServerCrashes(Duration Interval) -> void {
  Fleet.crashServer(draw(0, 1) == 0 ? "plain" : "model");
  Fleet.schedule(varied(Interval / 2),
                 [=, this] { startServerCrashes(Interval); });
}

auto MixedTraffic::draw(std::uint64_t From, std::uint64_t To) -> std::uint64_t {
  return std::uniform_int_distribution<std::uint64_t>(From, To)(Random);
}

auto MixedTraffic::varied(Duration Interval) -> Duration {
  return scaled(Interval, static_cast<double>(draw(500, 1500)) / 1000);
}

auto MixedTraffic::drawCaller() -> std::string {
  return "10.0.0." + std::to_string(draw(1, 20));
}

auto MixedTraffic::sendPlain() -> void {
  constexpr auto Interval = Duration{26ms};
  auto kind = draw(0, 9);
  auto call = FleetCall{RouteKind::Lookup, "popular", "", {}, drawCaller()};
  if (kind >= 3)
    call.Item = "item-" + std::to_string(++UniqueItems);
  if (kind >= 6)
    call.Route = RouteKind::Booking;
  Fleet.send(call);
  Fleet.schedule(varied(Interval), [this] { sendPlain(); });
}

LookupTraffic::LookupTraffic(EngineFleet &Fleet, Duration Interval)
    : Fleet(Fleet), Interval(Interval) {
  send();
}

auto LookupTraffic::send() -> void {
  Fleet.send({.Route = RouteKind::Lookup});
  Fleet.schedule(Interval, [this] { send(); });
}

} // namespace dotterel::relay::test
