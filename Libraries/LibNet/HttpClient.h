/// \file
/// A small HTTP/1.1 client: whole requests, and streams read in pieces.
#pragma once

#include "LibCore/Time.h"
#include "LibNet/Asio.h"
#include "LibNet/HttpField.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// A request to send.
struct HttpRequest {
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::vector<HttpField> Fields;
  std::string_view Body;
};

/// A whole answer.
struct HttpResponse {
  unsigned Status = 0;
  std::string ContentType;
  std::vector<HttpField> Fields;
  std::string Body;
};

/// How far an exchange got.
enum class ExchangeError : std::uint8_t { NotConnected, Broken };

/// An answer, or how far the exchange got without one.
struct HttpResult {
  std::optional<HttpResponse> Response;
  ExchangeError Problem = ExchangeError::NotConnected;
};

/// Receives the name and the value of one header field.
using FieldVisitor = std::function<void(std::string_view, std::string_view)>;

/// One connection to a server, for one exchange after the other. A peer that
/// stops to acknowledge is noticed within DeadPeerTimeout.
/// Thread safety: none; used on one executor.
class HttpConnection {
public:
  explicit HttpConnection(asio::any_io_executor const &Executor);
  ~HttpConnection();
  HttpConnection(HttpConnection const &) = delete;
  auto operator=(HttpConnection const &) -> HttpConnection & = delete;

  /// Connects. Returns false if no connection could be made.
  auto connect(std::string_view Address, Duration Timeout) -> Awaitable<bool>;

  /// Makes one whole exchange, with \p Timeout for each step and \p Wait for
  /// the header of the answer. Returns nothing if no whole answer came.
  /// Precondition: as send.
  auto roundTrip(HttpRequest const &Request, Duration Timeout, Duration Wait)
      -> Awaitable<std::optional<HttpResponse>>;

  /// Sends \p Request and makes ready for its answer. Returns false if it may
  /// have been sent in part only. Precondition: connected, and the answer
  /// before was read whole.
  auto send(HttpRequest const &Request, Duration Timeout) -> Awaitable<bool>;

  /// Reads the header section of the answer. Returns its status, or 0.
  auto readHeader(Duration Timeout) -> Awaitable<unsigned>;

  /// Leaves the answer that was read whole and makes ready for one more.
  auto expectNext() -> void;

  /// Passes each field of the answer's header to \p Visitor.
  auto visitFields(FieldVisitor const &Visitor) const -> void;

  [[nodiscard]] auto contentType() const -> std::string;

  /// Returns the value of \p Name in the answer's header, or an empty string.
  [[nodiscard]] auto field(std::string_view Name) const -> std::string;

  /// Reads the next part of the body into \p Out. Returns false at the end of
  /// the body and on errors; isComplete tells which.
  auto readSome(std::string &Out, Duration Timeout) -> Awaitable<bool>;

  /// Returns whether the whole answer was read.
  [[nodiscard]] auto isComplete() const -> bool;

  /// Returns whether the answer allows another exchange and nothing came
  /// after it. Precondition: the answer was read whole.
  [[nodiscard]] auto isReusable() const -> bool;

  /// Returns whether an idle connection is open and nothing has arrived.
  [[nodiscard]] auto isIdle() -> bool;

  /// Closes the connection; operations in progress fail.
  auto close() -> void;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Self;
};

/// Makes one exchange over a connection of its own.
[[nodiscard]] auto exchange(std::string Address, HttpRequest Request,
                            Duration Timeout) -> Awaitable<HttpResult>;

} // namespace dotterel
