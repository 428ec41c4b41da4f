#include "LibRelay/FleetTraffic.h"

#include <cstdlib>

namespace dotterel::relay::test {

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
  Fleet.send(makePrompt(true));
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
  Fleet.send(makePrompt(false));
  Fleet.schedule(SoundInterval, [this] { sendSound(); });
}

LookupTraffic::LookupTraffic(EngineFleet &Fleet, Duration Interval)
    : Fleet(Fleet), Interval(Interval) {
  send();
}

auto LookupTraffic::send() -> void {
  Fleet.send({});
  Fleet.schedule(Interval, [this] { send(); });
}

} // namespace dotterel::relay::test
