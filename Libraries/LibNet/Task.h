/// \file
/// Starts coroutines that run on their own. An exception that leaves one is
/// logged and ends that task alone.
#pragma once

#include "LibNet/Asio.h"

#include <exception>
#include <string_view>

namespace dotterel {

/// Logs an exception that left the task \p Name. Thread safety: any thread.
auto logTaskFailure(std::string_view Name, std::exception_ptr const &Exception)
    -> void;

/// Starts the coroutine \p Work on \p Context, detached. An exception that
/// leaves it is logged with \p Name. Precondition: \p Name outlives the task.
/// Thread safety: none; called on the executor of \p Context or before it runs.
template <typename ContextType, typename Task>
auto spawnTask(ContextType &&Context, std::string_view Name, Task &&Work)
    -> void {
  asio::co_spawn(std::forward<ContextType>(Context), std::forward<Task>(Work),
                 [Name](std::exception_ptr const &Exception) {
                   if (Exception)
                     logTaskFailure(Name, Exception);
                 });
}

/// Runs coroutines made by \p Make one after another until one returns. One
/// that an exception leaves is logged with \p Name, and followed by another one
/// after a pause.
template <typename Factory>
auto repeatUntilDone(std::string_view Name, Factory Make) -> Awaitable<void> {
  // A task that fails at once must not use up the processor.
  constexpr auto RestartPause = Duration{500ms};
  while (true) {
    auto exception = std::exception_ptr{};
    try {
      co_await Make();
      co_return;
    } catch (...) {
      exception = std::current_exception();
    }
    logTaskFailure(Name, exception);
    co_await sleepFor(RestartPause);
  }
}

/// Starts a task that runs as long as the process, such as one that accepts
/// connections. One that an exception leaves is started again.
/// Thread safety: as spawnTask.
template <typename ContextType, typename Factory>
auto spawnService(ContextType &&Context, std::string_view Name, Factory Make)
    -> void {
  spawnTask(
      std::forward<ContextType>(Context), Name,
      [Name, make = std::move(Make)] { return repeatUntilDone(Name, make); });
}

/// Runs \p Context until it is stopped. An exception of a callback is logged;
/// the other callbacks go on. Thread safety: as asio::io_context::run.
auto runEventLoop(asio::io_context &Context) -> void;

} // namespace dotterel
