#include "LibCore/Log.h"

#include "LibCore/Error.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <poll.h>
#include <unistd.h>

namespace dotterel {

namespace {

constexpr auto MaximumLinesPerSecond = 2000U;

/// Limits the number of lines per second.
class LineLimiter {
public:
  /// Returns whether a line may be written. When a new second begins,
  /// \p Dropped receives the number of lines dropped in the previous one.
  auto admit(std::chrono::seconds Now, unsigned &Dropped) -> bool {
    if (Now != Second) {
      Dropped =
          Count > MaximumLinesPerSecond ? Count - MaximumLinesPerSecond : 0;
      Second = Now;
      Count = 0;
    }
    return ++Count <= MaximumLinesPerSecond;
  }

private:
  std::chrono::seconds Second{0};
  unsigned Count = 0;
};

auto LowestLevel = LogLevel::Info;
auto Limiter = LineLimiter{};

/// Number of dropped lines that has not been logged yet.
auto DroppedLines = std::uint64_t{0};

/// A pipe that polls as writable takes this many bytes (PIPE_BUF) at once
/// without blocking.
constexpr auto MaximumLineBytes = std::size_t{4096};

/// Writes \p Line unless that would block, because a stalled log reader must
/// not stall the process. Returns false if the line was dropped.
auto writeWithoutBlocking(std::string_view Line) -> bool {
  auto target = pollfd{STDOUT_FILENO, POLLOUT, 0};
  if (::poll(&target, 1, 0) != 1 || (target.revents & POLLOUT) == 0)
    return false;
  return ::write(STDOUT_FILENO, Line.data(), Line.size()) ==
         static_cast<ssize_t>(Line.size());
}

auto levelName(LogLevel Level) -> std::string_view {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "error";
}

auto needsQuotes(char Character) -> bool {
  constexpr auto Special = std::string_view{" \"=\\"};
  return Special.find(Character) != std::string_view::npos ||
         std::iscntrl(static_cast<unsigned char>(Character)) != 0;
}

} // namespace

auto setLogLevel(LogLevel Lowest) -> void { LowestLevel = Lowest; }

auto parseLogLevel(std::string_view Name) -> LogLevel {
  for (auto level :
       {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
    if (levelName(level) == Name)
      return level;
  }
  throw Error(ResultCode::InvalidSettings,
              fmt::format("unknown log level '{}'", Name));
}

auto quoteLogValue(std::string_view Value) -> std::string {
  if (!Value.empty() && std::ranges::none_of(Value, needsQuotes))
    return std::string(Value);
  auto quoted = std::string{"\""};
  for (auto c : Value) {
    if (c == '"' || c == '\\')
      quoted += '\\';
    if (std::iscntrl(static_cast<unsigned char>(c)) != 0) {
      quoted += ' ';
      continue;
    }
    quoted += c;
  }
  return quoted + '"';
}

auto log(LogLevel Level, std::string_view Event,
         std::initializer_list<LogField> Fields) -> void {
  if (Level < LowestLevel)
    return;
  auto pairs = std::string{};
  for (auto const &field : Fields)
    pairs += fmt::format("{}{}={}", pairs.empty() ? "" : " ", field.Key,
                         quoteLogValue(field.Value));
  logLine(Level, Event, pairs);
}

auto logLine(LogLevel Level, std::string_view Event, std::string_view Pairs)
    -> void {
  if (Level < LowestLevel)
    return;
  auto now = std::chrono::system_clock::now().time_since_epoch();
  auto dropped = 0U;
  auto admitted =
      Limiter.admit(std::chrono::floor<std::chrono::seconds>(now), dropped);
  DroppedLines += dropped;
  if (!admitted)
    return;
  if (DroppedLines > 0 &&
      writeWithoutBlocking(fmt::format(
          "level=warning event=log-lines-dropped count={}\n", DroppedLines)))
    DroppedLines = 0;
  auto line =
      fmt::format("time_ms={} level={} event={}{}{}\n",
                  std::chrono::floor<std::chrono::milliseconds>(now).count(),
                  levelName(Level), Event, Pairs.empty() ? "" : " ", Pairs);
  if (line.size() > MaximumLineBytes) {
    line.resize(MaximumLineBytes);
    line.back() = '\n';
  }
  if (!writeWithoutBlocking(line))
    ++DroppedLines;
}

} // namespace dotterel
