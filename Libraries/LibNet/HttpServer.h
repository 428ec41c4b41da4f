/// \file
/// An HTTP/1.1 server that limits the size, number and duration of all input.
#pragma once

#include "LibCore/ResultCode.h"
#include "LibCore/Time.h"
#include "LibNet/Asio.h"
#include "LibNet/HttpClient.h"
#include "LibNet/MemoryBudget.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace dotterel {

/// Limits on what callers may send, and on what is held for them.
struct HttpLimits {
  std::size_t BodyBytes = 4U << 20U;
  std::size_t HeaderBytes = 16U << 10U;
  /// Beyond it, a connection that makes no progress is closed for each new one.
  std::size_t Connections = 8192;
  /// Bodies are read but not kept.
  bool DiscardsBodies = false;
  /// What requests are charged to; the server's own budget if it is null.
  std::shared_ptr<MemoryBudget> Budget;
  Duration ReadTimeout = 10s;
  Duration WriteTimeout = 10s;
  Duration IdleTimeout = 60s;
};

/// One request, to which exactly one response is sent.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual auto method() const -> std::string_view = 0;
  /// Returns the path without the query.
  [[nodiscard]] virtual auto path() const -> std::string_view = 0;
  /// Returns the path with the query, as it was sent.
  [[nodiscard]] virtual auto target() const -> std::string_view = 0;
  /// Passes each header field to \p Visitor.
  virtual auto visitFields(FieldVisitor const &Visitor) const -> void = 0;
  /// Returns the value of query parameter \p Name, or an empty string.
  [[nodiscard]] virtual auto query(std::string_view Name) const
      -> std::string = 0;
  /// Returns the value of header \p Name, or an empty string.
  [[nodiscard]] virtual auto field(std::string_view Name) const
      -> std::string = 0;
  [[nodiscard]] virtual auto body() -> std::string & = 0;
  /// Returns the IP address of the caller's end of the connection, or an empty
  /// string if the connection is gone.
  [[nodiscard]] virtual auto callerAddress() const -> std::string = 0;

  /// Sends a complete response. Errors, of all functions that send:
  /// boost::system::system_error if the caller disconnected or stopped reading.
  virtual auto respond(HttpResponse Response) -> Awaitable<void> = 0;

  /// Begins a response with status 200 and a body of unknown length, which is
  /// sent in chunks.
  virtual auto beginStream(std::string ContentType,
                           std::vector<HttpField> Fields)
      -> Awaitable<void> = 0;
  /// Begins a response with the status and fields of \p Header and a body of
  /// unknown length, which is sent in chunks.
  virtual auto beginResponse(HttpResponse Header) -> Awaitable<void> = 0;
  /// As beginResponse, with a body of \p Length bytes in all.
  virtual auto beginResponse(HttpResponse Header, std::uint64_t Length)
      -> Awaitable<void> = 0;
  virtual auto writeChunk(std::string_view Data) -> Awaitable<void> = 0;
  virtual auto endStream() -> Awaitable<void> = 0;

  /// Calls \p Callback once if the caller closes its connection before the
  /// response is complete.
  virtual auto notifyOnDisconnect(std::function<void()> Callback) -> void = 0;

  /// Closes the connection without completing the response.
  virtual auto abort() -> void = 0;
};

using HttpHandler = std::function<Awaitable<void>(HttpExchange &)>;
/// Builds the response to a request that is refused before it reaches the
/// handler.
using HttpErrorHandler = std::function<HttpResponse(ResultCode)>;

/// Accepts connections and passes requests to a handler.
/// Thread safety: none; used on one executor.
class HttpServer {
public:
  HttpServer(asio::io_context &Context, std::string_view Address,
             HttpLimits Limits, HttpHandler Handler,
             HttpErrorHandler ErrorHandler);
  ~HttpServer();
  HttpServer(HttpServer const &) = delete;
  auto operator=(HttpServer const &) -> HttpServer & = delete;

  /// Starts accepting connections. Errors: boost::system::system_error.
  auto start() -> void;

  /// Stops accepting connections; exchanges in progress continue.
  auto stop() -> void;

  /// Sets the limits of requests that arrive from now on.
  auto setLimits(HttpLimits Limits) -> void;

  /// Closes each connection after its next response.
  auto closeAfterResponses() -> void;

  /// Returns the number of open connections.
  [[nodiscard]] auto connectionCount() const -> std::size_t;

  /// Returns how many connections were closed to make room for others.
  [[nodiscard]] auto evictedCount() const -> std::uint64_t;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Impl;
};

} // namespace dotterel
