/// \file
/// A small HTTP/1.1 client that sends complete requests and can read
/// responses incrementally.
#pragma once

#include "LibCore/Time.h"
#include "LibNet/Asio.h"
#include "LibNet/BodyFraming.h"
#include "LibNet/HttpField.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

struct HttpRequest {
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::vector<HttpField> Fields;
  std::string_view Body;
};

/// A complete response.
struct HttpResponse {
  unsigned Status = 0;
  std::string ContentType;
  std::vector<HttpField> Fields;
  std::string Body;
};

/// At which point an exchange failed.
enum class ExchangeError : std::uint8_t {
  /// No connection could be made; nothing was sent.
  NotConnected,
  /// The exchange ended without a complete response; the request may have been
  /// sent.
  Interrupted,
};

/// A response, or the error if there is none.
struct HttpResult {
  std::optional<HttpResponse> Response;
  ExchangeError Error = ExchangeError::NotConnected;
};

/// Receives the name and the value of one header field.
using FieldVisitor = std::function<void(std::string_view, std::string_view)>;

/// A connection to a server that carries one exchange at a time. Operations
/// fail if the server acknowledges no data for about a second.
/// Thread safety: none; used on one executor.
class HttpConnection {
public:
  explicit HttpConnection(asio::any_io_executor const &Executor);
  ~HttpConnection();
  HttpConnection(HttpConnection const &) = delete;
  auto operator=(HttpConnection const &) -> HttpConnection & = delete;

  /// Connects. Returns false if no connection could be made, or, with a log
  /// line, if \p Address is not "ip:port".
  auto connect(std::string_view Address, Duration Timeout) -> Awaitable<bool>;

  /// Limits the bodies of the responses that follow; larger ones are errors.
  auto limitBody(std::uint64_t Bytes) -> void;

  /// Sends \p Request and reads the complete response, with \p Timeout for each
  /// step and \p HeaderTimeout for the header of the response. Returns
  /// std::nullopt if no complete response arrived. Precondition: as send.
  auto roundTrip(HttpRequest const &Request, Duration Timeout,
                 Duration HeaderTimeout)
      -> Awaitable<std::optional<HttpResponse>>;

  /// Sends \p Request and prepares for its response. Returns false if it was
  /// not sent completely; a part may have been sent. Precondition: connected,
  /// and the previous response has been read completely.
  auto send(HttpRequest const &Request, Duration Timeout) -> Awaitable<bool>;

  /// Reads the header section of the response, skipping a few interim
  /// responses. Returns the status, or 0 on errors and, with a log line, if the
  /// status is out of range or 101.
  auto readHeader(Duration Timeout) -> Awaitable<unsigned>;

  /// Prepares for the next response on the connection, for example after a
  /// response that belongs to an earlier request was skipped.
  /// Precondition: the current response has been read completely.
  auto expectResponse() -> void;

  /// Passes each header field of the response to \p Visitor.
  auto visitFields(FieldVisitor const &Visitor) const -> void;

  [[nodiscard]] auto contentType() const -> std::string;

  /// Returns the value of the header field \p Name, or an empty string.
  [[nodiscard]] auto field(std::string_view Name) const -> std::string;

  /// Returns how the end of the body is marked.
  /// Precondition: the header section has been read.
  [[nodiscard]] auto framing() const -> BodyFraming;

  /// Returns the length of the body, if the header section names it.
  /// Precondition: the header section has been read.
  [[nodiscard]] auto bodyLength() const -> std::optional<std::uint64_t>;

  /// Appends the next part of the body to \p Out. Returns false at the end of
  /// the body and on errors; isComplete tells them apart.
  auto readSome(std::string &Out, Duration Timeout) -> Awaitable<bool>;

  /// Returns whether the response has been read completely. A body that lasts
  /// until the server closes is never complete if the connection failed
  /// while the request was sent.
  [[nodiscard]] auto isComplete() const -> bool;

  /// Returns whether the connection can carry another exchange: the response
  /// allows it, and no data arrived after it.
  /// Precondition: the response has been read completely.
  [[nodiscard]] auto isReusable() const -> bool;

  /// Returns whether the connection is open and no data waits to be read.
  [[nodiscard]] auto isIdle() -> bool;

  /// Closes the connection; operations in progress fail.
  auto close() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

/// Limit on the body of a response unless another one is set.
constexpr auto DefaultBodyLimit = std::uint64_t{64} << 20U;

/// Makes one exchange over a new connection, with \p Timeout for each step.
[[nodiscard]] auto exchange(std::string Address, HttpRequest Request,
                            Duration Timeout,
                            std::uint64_t BodyLimit = DefaultBodyLimit)
    -> Awaitable<HttpResult>;

} // namespace dotterel
