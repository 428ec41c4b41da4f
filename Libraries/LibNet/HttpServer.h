/// \file
/// An HTTP/1.1 server with limits on size, count and time for every input.
#pragma once

#include "LibCore/ResultCode.h"
#include "LibCore/Time.h"
#include "LibNet/Asio.h"
#include "LibNet/HttpClient.h"

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace dotterel {

/// Limits of one server.
struct HttpLimits {
  std::size_t BodyBytes = 4U << 20U;
  std::size_t HeaderBytes = 16U << 10U;
  std::size_t Connections = 8192;
  Duration ReadTimeout = 10s;
  Duration WriteTimeout = 10s;
  Duration IdleTimeout = 60s;
};

/// One request and the means to answer it once.
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

  /// Answers with a whole reply. Errors: boost::system::system_error if the
  /// caller is gone or does not read.
  virtual auto respond(HttpResponse Reply) -> Awaitable<void> = 0;

  /// Begins an answer whose length is not known.
  virtual auto beginStream(std::string ContentType,
                           std::vector<HttpField> Fields)
      -> Awaitable<void> = 0;
  /// Begins an answer with the status and fields of \p Header; its body, whose
  /// length is not known, follows in chunks.
  virtual auto beginResponse(HttpResponse Header) -> Awaitable<void> = 0;
  virtual auto writeChunk(std::string_view Data) -> Awaitable<void> = 0;
  virtual auto endStream() -> Awaitable<void> = 0;

  /// Calls \p Callback once if the caller closes its connection before the
  /// answer is out.
  virtual auto notifyOnDisconnect(std::function<void()> Callback) -> void = 0;

  /// Closes the connection without finishing the answer.
  virtual auto abort() -> void = 0;
};

using HttpHandler = std::function<Awaitable<void>(HttpExchange &)>;
/// Builds the answer to a request that was refused before it reached the
/// handler.
using HttpErrorHandler = std::function<HttpResponse(ResultCode)>;

/// Accepts connections and passes requests to a handler.
/// Thread safety: none; used on one executor.
class HttpServer {
public:
  HttpServer(asio::io_context &Context, std::string_view Address,
             HttpLimits Limits, HttpHandler Handler, HttpErrorHandler Refusal);
  ~HttpServer();
  HttpServer(HttpServer const &) = delete;
  auto operator=(HttpServer const &) -> HttpServer & = delete;

  /// Starts to accept. Errors: boost::system::system_error.
  auto start() -> void;

  /// Stops accepting; exchanges in progress go on.
  auto stop() -> void;

  /// Applies to requests that begin to arrive later.
  auto setLimits(HttpLimits Limits) -> void;

  /// Makes every further answer the last one on its connection.
  auto closeAfterResponses() -> void;

private:
  struct Implementation;
  std::shared_ptr<Implementation> Self;
};

} // namespace dotterel
