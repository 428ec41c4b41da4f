#include "LibGateway/RequestTrace.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace dotterel {

namespace {

auto number(std::string_view Text) -> std::int64_t {
  auto n = std::int64_t{0};
  // A missing or malformed number counts as zero; the line itself is shown.
  (void)std::from_chars(Text.data(), Text.data() + Text.size(), n);
  return n;
}

auto timeOf(std::string const &Line) -> std::int64_t {
  return number(logValue(Line, "time_ms"));
}

/// Returns the last line of \p Event, or an empty view.
auto findLast(std::vector<std::string> const &Lines, std::string_view Event)
    -> std::string_view {
  auto found = std::string_view{};
  for (auto const &it : Lines) {
    if (logValue(it, "event") == Event)
      found = it;
  }
  return found;
}

auto describeCause(std::vector<std::string> const &Lines) -> std::string {
  auto refused = findLast(Lines, "request-refused");
  if (!refused.empty())
    return fmt::format("refused before routing: {}", logValue(refused, "code"));
  auto finished = findLast(Lines, "request-finished");
  if (finished.empty())
    return {};
  auto code = logValue(finished, "code");
  auto failed = findLast(Lines, "attempt-failed");
  auto part = findLast(Lines, "first-part");
  auto attempts = number(logValue(finished, "attempts"));
  if (code == "queue-too-long" || code == "deadline-infeasible")
    return fmt::format("refused immediately ({}); sent to {} servers", code,
                       attempts);
  if (code == "answer-lost")
    return fmt::format("server {} sent no complete response ({}) and the "
                       "request must not be repeated",
                       logValue(failed, "server"), logValue(failed, "reason"));
  auto unplaced = findLast(Lines, "request-not-placed");
  if (code != "completed" && !unplaced.empty())
    return fmt::format(
        "ended as {}: no server of {} was usable; of {} servers "
        "{} are leaving and {} asked for a pause",
        code, logValue(unplaced, "service"), logValue(unplaced, "servers"),
        logValue(unplaced, "leaving"), logValue(unplaced, "paused"));
  if (code != "completed")
    return fmt::format("ended as {} after {} attempts; the last failure was "
                       "'{}' at server {}",
                       code, attempts, logValue(failed, "reason"),
                       logValue(failed, "server"));
  return fmt::format(
      "completed with status {}; first part after {} ms, of which the last "
      "server took {} ms (forecast {} ms), longest pause {} ms",
      logValue(finished, "status"), logValue(finished, "first_ms"),
      logValue(part, "taken_ms"), logValue(part, "forecast_ms"),
      logValue(finished, "pause_ms"));
}

} // namespace

auto logValue(std::string_view Line, std::string_view Key) -> std::string_view {
  for (auto at = Line.find(Key); at != std::string_view::npos;
       at = Line.find(Key, at + 1)) {
    auto isStart = at == 0 || Line[at - 1] == ' ';
    auto rest = Line.substr(at + Key.size());
    if (!isStart || !rest.starts_with('='))
      continue;
    rest.remove_prefix(1);
    if (!rest.starts_with('"'))
      return rest.substr(0, rest.find(' '));
    rest.remove_prefix(1);
    return rest.substr(0, rest.find('"'));
  }
  return {};
}

auto traceRequest(std::vector<std::istream *> const &Logs, std::string_view Id)
    -> RequestTrace {
  auto trace = RequestTrace{};
  auto line = std::string{};
  for (auto *it : Logs) {
    while (std::getline(*it, line)) {
      if (logValue(line, "id") == Id)
        trace.Lines.push_back(line);
    }
  }
  std::ranges::stable_sort(trace.Lines, {}, timeOf);
  trace.Cause = describeCause(trace.Lines);
  return trace;
}

} // namespace dotterel
