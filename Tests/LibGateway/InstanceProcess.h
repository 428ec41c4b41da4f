/// \file
/// An instance that runs as a process of its own.
#pragma once

#include "LibGateway/RunningGateway.h"

#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <optional>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace dotterel::test {

/// Memory and descriptors of the smallest machine that is supported.
inline constexpr auto MachineMegabytes = 112.0;
inline constexpr auto MachineDescriptors = 2870;

/// An instance in a child process.
class InstanceProcess {
public:
  explicit InstanceProcess(FakePlatform const &Platform) {
    auto const text = fmt::format(
        R"({{"instance":"i0","failureDomain":"z1","host":"127.0.0.1",
             "callerAddress":"{}","readinessAddress":"{}",
             "directoryAddress":"{}","peerPort":{},"storeAddress":"{}",
             "memoryMb":{},"descriptors":{},"logLevel":"error"}})",
        address(CallerPort), address(ReadyPort), address(DirectoryPort),
        PeerPort, Platform.storeAddress(), static_cast<int>(MachineMegabytes),
        MachineDescriptors);
    Pid = ::fork();
    if (Pid == 0) {
      ::signal(SIGTERM, SIG_DFL);
      {
        auto gateway = Gateway(GatewaySettings::parse(text), "unused");
        gateway.run();
      }
      ::_exit(0);
    }
    for (auto n = 0; n < 200 && status(get(ReadyPort, "/-/ready")) != 200; ++n)
      std::this_thread::sleep_for(20ms);
  }
  ~InstanceProcess() {
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
  }
  InstanceProcess(InstanceProcess const &) = delete;
  auto operator=(InstanceProcess const &) -> InstanceProcess & = delete;

  [[nodiscard]] auto isAlive() const -> bool {
    return ::waitpid(Pid, nullptr, WNOHANG) == 0;
  }

  /// Asks the instance to stop.
  auto terminate() const -> void { ::kill(Pid, SIGTERM); }

  /// Returns the wait status of the instance, or std::nullopt if it still runs
  /// after \p Timeout.
  [[nodiscard]] auto awaitEnd(Duration Timeout) -> std::optional<int> {
    for (auto waited = Duration{}; waited < Timeout; waited += 20ms) {
      auto status = 0;
      if (::waitpid(Pid, &status, WNOHANG) == Pid)
        return status;
      std::this_thread::sleep_for(20ms);
    }
    return std::nullopt;
  }

  /// Returns the highest resident memory so far.
  [[nodiscard]] auto peakMegabytes() const -> double {
    auto file = std::ifstream(fmt::format("/proc/{}/status", Pid));
    for (auto line = std::string{}; std::getline(file, line);) {
      if (line.starts_with("VmHWM:"))
        return std::stod(line.substr(6)) / 1024;
    }
    return 0;
  }

private:
  pid_t Pid = 0;
};

} // namespace dotterel::test
