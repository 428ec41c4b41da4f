/// \file
/// A small stand-in of the platform, written from its published protocol: the
/// store with one service, one server, and a configuration.
#pragma once

#include <memory>
#include <string>

namespace dotterel::test {

/// How the server answers.
enum class ServerMode {
  Echo,
  /// A stream of three events, each as it is made.
  Stream,
  /// Two events, then the connection is cut in the middle of a third.
  CutStream,
  /// First an answer to another request, then the right one.
  LateAnswer,
  /// Closes the connection without an answer.
  Close,
  Refuse,
};

/// Runs store and server on a thread of its own until it is destroyed.
class PlatformStandIn {
public:
  PlatformStandIn();
  ~PlatformStandIn();
  PlatformStandIn(PlatformStandIn const &) = delete;
  auto operator=(PlatformStandIn const &) -> PlatformStandIn & = delete;

  auto setMode(ServerMode Mode) -> void;
  /// Marks the server as leaving in the store.
  auto drainServer() -> void;

  [[nodiscard]] auto storeAddress() const -> std::string;
  /// Number of requests that the server has received.
  [[nodiscard]] auto served() const -> unsigned;
  /// The header fields of the last request, one a line.
  [[nodiscard]] auto lastFields() const -> std::string;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

} // namespace dotterel::test
