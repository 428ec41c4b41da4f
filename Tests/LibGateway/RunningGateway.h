/// \file
/// A gateway in front of the fake platform, and calls to it.
#pragma once

#include "LibGateway/FakePlatform.h"
#include "LibGateway/Gateway.h"
#include "LibNet/HttpClient.h"

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace dotterel::test {

inline constexpr auto CallerPort = 21743;
inline constexpr auto ReadyPort = 21744;
inline constexpr auto DirectoryPort = 21745;
inline constexpr auto PeerPort = 21746;
inline constexpr auto MetricsPort = 21747;
/// For a server that a test starts itself.
inline constexpr auto ScriptedPort = 21748;

/// Returns the loopback address with \p Port.
[[nodiscard]] auto address(int Port) -> std::string;

/// Returns the status of a response, or 0 if there is none.
[[nodiscard]] auto status(HttpResult const &Result) -> unsigned;

[[nodiscard]] auto get(int Port, std::string Path) -> HttpResult;

/// Sends a request to the host of the fake platform's routes.
[[nodiscard]] auto post(int Port, std::string Path,
                        std::vector<HttpField> Fields = {},
                        std::string_view Body = "body") -> HttpResult;

/// A gateway that is ready to serve. Its ports are fixed: at most one exists at
/// a time.
class RunningGateway {
public:
  /// Starts the gateway. Its backend server is at \p ServerAddress, or that of
  /// the fake platform if it is empty.
  /// \p Prepare is called before the gateway starts.
  explicit RunningGateway(
      std::string ServerAddress = {},
      std::function<void(FakePlatform &)> const &Prepare = {});
  ~RunningGateway();
  RunningGateway(RunningGateway const &) = delete;
  auto operator=(RunningGateway const &) -> RunningGateway & = delete;

  /// Sends SIGTERM to this process and waits until the gateway has stopped.
  auto stop() -> void;

  /// Sends a request on \p Route, with id 9c41 unless \p Fields have one.
  auto request(std::string const &Route, std::vector<HttpField> Fields = {},
               std::string_view Body = "body") -> HttpResult;

  FakePlatform Platform;

private:
  std::optional<Gateway> TestedGateway;
  std::thread Thread;
};

} // namespace dotterel::test
