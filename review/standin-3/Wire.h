/// \file
/// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Returns the milliseconds since the process started.
[[nodiscard]] auto elapsedMs() -> std::int64_t;
[[nodiscard]] auto unixMs() -> std::int64_t;
auto pauseMs(std::int64_t Span) -> void;

/// Splits "IP:PORT".
struct Address {
  std::string Ip;
  int Port = 0;

  [[nodiscard]] auto text() const -> std::string;
};

/// Closes its descriptor when it is destroyed.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Handle) : Handle(Handle) {}
  ~Socket() { close(); }
  Socket(Socket &&Other) noexcept : Handle(Other.Handle) { Other.Handle = -1; }
  auto operator=(Socket &&Other) noexcept -> Socket &;
  Socket(Socket const &) = delete;
  auto operator=(Socket const &) -> Socket & = delete;

  [[nodiscard]] auto handle() const -> int { return Handle; }
  [[nodiscard]] auto isOpen() const -> bool { return Handle >= 0; }
  auto close() -> void;
  /// Closes with a reset.
  auto reset() -> void;
  auto setReceiveTimeout(std::int64_t Ms) const -> void;
  [[nodiscard]] auto sendAll(std::string_view Bytes) const -> bool;
  /// Appends what has arrived. Returns false at the end, on errors and
  /// time-outs.
  [[nodiscard]] auto receive(std::string &Output) const -> bool;

private:
  int Handle = -1;
};

/// Listens on \p Target; port 0 takes a free one and stores it.
[[nodiscard]] auto listenOn(Address &Target) -> Socket;
[[nodiscard]] auto acceptFrom(Socket const &Listener) -> Socket;
/// Connects from \p Source, an IP address, unless it is empty.
[[nodiscard]] auto connectTo(Address const &Target, std::string const &Source)
    -> Socket;
/// Returns whether the peer has closed the connection or sent something.
[[nodiscard]] auto hasInput(Socket const &Target) -> bool;
/// Returns a port that is free at \p Ip.
[[nodiscard]] auto freePort(std::string const &Ip) -> int;

struct Message {
  /// The first line, split at blanks.
  std::vector<std::string> Start;
  /// Names in lower case.
  std::map<std::string, std::string> Fields;
  std::string Body;

  [[nodiscard]] auto field(std::string const &Name) const -> std::string;
  /// Returns a query parameter of a request.
  [[nodiscard]] auto query(std::string const &Name) const -> std::string;
  [[nodiscard]] auto path() const -> std::string;
  [[nodiscard]] auto status() const -> int;
};

/// Reads one message; \p Buffer keeps what follows it.
[[nodiscard]] auto readMessage(Socket const &Source, std::string &Buffer)
    -> std::optional<Message>;

using Fields = std::vector<std::pair<std::string, std::string>>;

[[nodiscard]] auto writeResponse(int Status, Fields const &Header,
                                 std::string_view Body) -> std::string;

/// Calls \p Serve in a thread of its own for each connection of a listener.
auto serveForever(Socket Listener, std::function<void(Socket)> Serve) -> void;

/// Starts a detached thread with a small stack.
auto startThread(std::function<void()> Work) -> void;

} // namespace review
