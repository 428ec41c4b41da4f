#include "LibRelay/FleetRecord.h"

#include <algorithm>
#include <map>
#include <set>

namespace dotterel::relay::test {

auto FleetRecord::arrivalsAboveBudget(RetryLimits const &Limits) const
    -> double {
  auto repeats = std::vector<Instant>{};
  auto seen = std::set<std::uint64_t>{};
  for (auto const &it : Arrivals) {
    if (!it.IsFirstPrefill && !seen.insert(it.Request).second)
      repeats.push_back(it.At);
  }
  auto requestsIn = [&](Instant From) {
    return static_cast<double>(
        std::ranges::count_if(Requests, [&](FleetRequest const &it) {
          return it.SentAt >= From && it.SentAt < From + Limits.Window;
        }));
  };
  auto worst = 0.0;
  for (auto first = repeats.begin(); first != repeats.end(); ++first) {
    auto end = std::lower_bound(first, repeats.end(), *first + Limits.Window);
    // The users' rule takes the largest of three windows.
    auto requests =
        std::max({requestsIn(*first), requestsIn(*first - Limits.Window / 2),
                  requestsIn(*first - Limits.Window)});
    worst = std::max(worst, static_cast<double>(end - first) -
                                Limits.Ratio * requests - Limits.Slack);
  }
  return worst;
}

auto FleetRecord::crashingArrivalsAfterCrash(std::size_t Crash,
                                             Duration Delay) const -> unsigned {
  if (Crashes.size() < Crash)
    return 0;
  auto from = Crashes[Crash - 1].At + Delay;
  return static_cast<unsigned>(
      std::ranges::count_if(Arrivals, [&](FleetArrival const &it) {
        return it.CrashesEngines && it.At > from;
      }));
}

auto FleetRecord::mostArrivalsOfOneCall(std::size_t Crash, Duration Delay) const
    -> unsigned {
  auto crashes = std::map<std::size_t, std::vector<Instant>>{};
  for (auto const &it : Crashes)
    crashes[it.CrashingCall].push_back(it.At);
  auto most = 0U;
  for (auto const &[call, times] : crashes) {
    if (times.size() < Crash)
      continue;
    auto const from = times[Crash - 1] + Delay;
    auto isLater = [&, call = call](FleetArrival const &it) {
      return it.CrashesEngines && it.At > from &&
             Requests[it.Request].CrashingCall == call;
    };
    most = std::max(
        most, static_cast<unsigned>(std::ranges::count_if(Arrivals, isLater)));
  }
  return most;
}

auto FleetRecord::soundRequestsQuarantined(Instant From) const -> unsigned {
  return static_cast<unsigned>(
      std::ranges::count_if(Requests, [&](FleetRequest const &it) {
        return !it.CrashesEngines && it.IsQuarantined && it.SentAt >= From;
      }));
}

auto FleetRecord::soundShareBegun(Instant From, Instant To) const -> double {
  auto sent = 0.0;
  auto begun = 0.0;
  for (auto const &it : Requests) {
    if (it.CrashesEngines || it.IsCallerRetry || it.SentAt < From ||
        it.SentAt >= To)
      continue;
    sent += 1;
    begun += it.HasBegun ? 1 : 0;
  }
  return sent == 0 ? 1 : begun / sent;
}

auto FleetRecord::arrivalsAt(std::string_view Server, Instant From,
                             Instant To) const -> unsigned {
  return static_cast<unsigned>(
      std::ranges::count_if(Arrivals, [&](FleetArrival const &it) {
        return it.Server == Server && it.At >= From && it.At < To;
      }));
}

auto FleetRecord::mostArrivalsAt(std::string_view Server, Instant From,
                                 Duration Window) const -> unsigned {
  auto counted = std::vector<Instant>{};
  for (auto const &it : Arrivals) {
    if (it.Server == Server && it.At >= From && !it.IsExcused)
      counted.push_back(it.At);
  }
  auto most = 0U;
  for (auto first = counted.begin(); first != counted.end(); ++first) {
    auto end = std::lower_bound(first, counted.end(), *first + Window);
    most = std::max(most, static_cast<unsigned>(end - first));
  }
  return most;
}

} // namespace dotterel::relay::test
