/// \file
/// A server that writes given bytes to every request and ends the connection in
/// a given way. Not part of the product.
#pragma once

#include "LibNet/Asio.h"
#include "LibNet/Endpoint.h"
#include "LibNet/Task.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>

namespace dotterel::test {

/// What a ScriptedServer does after it has written its response.
enum class ConnectionEnd {
  Close,
  Reset,
  /// Ends the response in order, then resets the connection.
  HalfCloseThenReset,
  /// Keeps the connection open and neither reads nor writes.
  Stall,
  /// Writes Script::Repeated until the client closes the connection.
  Repeat,
};

struct Script {
  std::string Response{};
  ConnectionEnd End = ConnectionEnd::Close;
  std::string Repeated{};
  /// Responds before the body of the request has arrived, and never reads it.
  bool IsEarly = false;
  /// Writes the response in packets of one byte, with pauses between them.
  bool IsSplit = false;
};

/// Plays one script on each connection until destroyed, on a thread of its own.
/// Precondition: requests have a Content-Length field or no body.
/// Thread safety: counters may be read on any thread.
class ScriptedServer {
public:
  /// Errors: boost::system::system_error if \p Address cannot be bound.
  ScriptedServer(std::string_view Address, Script Steps)
      : Steps(std::move(Steps)), Acceptor(Context, parseEndpoint(Address)) {
    spawnTask(Context, "acceptor", [this] { return accept(); });
    Thread = std::thread([this] { Context.run(); });
  }

  ~ScriptedServer() {
    Context.stop();
    Thread.join();
  }

  ScriptedServer(ScriptedServer const &) = delete;
  auto operator=(ScriptedServer const &) -> ScriptedServer & = delete;

  /// Sets the script of connections that are accepted from now on.
  /// Thread safety: any thread.
  auto setScript(Script Next) -> void {
    auto lock = std::lock_guard(Mutex);
    Steps = std::move(Next);
  }

  [[nodiscard]] auto requests() const -> unsigned { return Requests; }
  /// Number of bytes that clients have accepted, on all connections.
  [[nodiscard]] auto bytesSent() const -> std::size_t { return BytesSent; }
  /// Number of connections on which the script has ended.
  [[nodiscard]] auto connectionsEnded() const -> unsigned { return Ended; }

private:
  /// Longer than any client waits.
  static constexpr auto MaximumStall = Duration{60s};
  /// Above the time in which a client reads a packet.
  static constexpr auto SplitPause = Duration{1ms};

  auto accept() -> Awaitable<void> {
    while (true) {
      auto socket = std::make_shared<asio::ip::tcp::socket>(
          co_await Acceptor.async_accept(asio::use_awaitable));
      auto lock = std::lock_guard(Mutex);
      spawnTask(Context, "script",
                [this, socket, steps = Steps] { return play(*socket, steps); });
    }
  }

  auto play(asio::ip::tcp::socket &Socket, Script Current) -> Awaitable<void> {
    auto ec = boost::system::error_code{};
    co_await readRequest(Socket, Current.IsEarly, ec);
    if (Current.IsSplit)
      co_await writeSplit(Socket, Current.Response, ec);
    else if (!ec)
      co_await write(Socket, Current.Response, ec);
    while (!ec && Current.End == ConnectionEnd::Repeat)
      co_await write(Socket, Current.Repeated, ec);
    if (Current.End == ConnectionEnd::Stall)
      co_await sleepFor(MaximumStall);
    if (Current.End == ConnectionEnd::HalfCloseThenReset)
      Socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    if (Current.End == ConnectionEnd::Reset ||
        Current.End == ConnectionEnd::HalfCloseThenReset)
      Socket.set_option(asio::socket_base::linger(true, 0), ec);
    Socket.close(ec);
    ++Ended;
  }

  /// Reads all bytes of the request: closing with unread bytes would reset the
  /// connection. Reads only its header section if \p SkipsBody.
  auto readRequest(asio::ip::tcp::socket &Socket, bool SkipsBody,
                   boost::system::error_code &ec) -> Awaitable<void> {
    auto text = std::string{};
    auto size = co_await asio::async_read_until(
        Socket, asio::dynamic_buffer(text), "\r\n\r\n", useError(ec));
    if (ec)
      co_return;
    ++Requests;
    if (SkipsBody)
      co_return;
    constexpr auto Field = std::string_view{"Content-Length: "};
    auto at = text.find(Field);
    if (at < size)
      size += std::strtoul(text.c_str() + at + Field.size(), nullptr, 10);
    if (text.size() < size)
      co_await asio::async_read(Socket, asio::dynamic_buffer(text),
                                asio::transfer_exactly(size - text.size()),
                                useError(ec));
  }

  auto writeSplit(asio::ip::tcp::socket &Socket, std::string const &Bytes,
                  boost::system::error_code &ec) -> Awaitable<void> {
    Socket.set_option(asio::ip::tcp::no_delay(true), ec);
    for (auto it : Bytes) {
      if (ec)
        co_return;
      co_await write(Socket, std::string(1, it), ec);
      co_await sleepFor(SplitPause);
    }
  }

  auto write(asio::ip::tcp::socket &Socket, std::string const &Bytes,
             boost::system::error_code &ec) -> Awaitable<void> {
    BytesSent +=
        co_await asio::async_write(Socket, asio::buffer(Bytes), useError(ec));
  }

  std::mutex Mutex;
  Script Steps;
  asio::io_context Context{1};
  asio::ip::tcp::acceptor Acceptor;
  std::atomic<unsigned> Requests = 0;
  std::atomic<unsigned> Ended = 0;
  std::atomic<std::size_t> BytesSent = 0;
  std::thread Thread;
};

} // namespace dotterel::test
