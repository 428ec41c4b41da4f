#include "LibNet/Task.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"

namespace dotterel {

auto logTaskFailure(std::string_view Name, std::exception_ptr const &Exception)
    -> void {
  log(LogLevel::Error, "task-failed",
      {{"task", Name}, {"error", describeException(Exception)}});
}

auto runEventLoop(asio::io_context &Context) -> void {
  while (!Context.stopped()) {
    try {
      Context.run();
    } catch (...) {
      logTaskFailure("callback", std::current_exception());
    }
  }
}

} // namespace dotterel
