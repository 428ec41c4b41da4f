/// \file
/// A small HTTP/1.1 client: whole requests, and streams read in pieces.
#pragma once

#include "LibCore/Time.h"
#include "LibNet/Asio.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// One header field.
struct HttpField {
  std::string Name;
  std::string Value;
};

/// A request to send.
struct HttpRequest {
  std::string Method;
  std::string Target;
  std::string ContentType;
  std::vector<HttpField> Fields;
  std::string_view Body;
};

/// A whole answer.
struct HttpReply {
  unsigned Status = 0;
  std::string ContentType;
  std::vector<HttpField> Fields;
  std::string Body;
};

/// How far an exchange got.
enum class ExchangeError : std::uint8_t { NotConnected, Broken };

/// An answer, or how far the exchange got without one.
struct HttpResult {
  std::optional<HttpReply> Reply;
  ExchangeError Problem = ExchangeError::NotConnected;
};

/// One connection to a server. Thread safety: none; used on one executor.
class HttpConnection {
public:
  explicit HttpConnection(asio::any_io_executor const &Executor);
  ~HttpConnection();
  HttpConnection(HttpConnection const &) = delete;
  auto operator=(HttpConnection const &) -> HttpConnection & = delete;

  /// Connects. Returns false if no connection could be made.
  auto connect(std::string_view Address, Duration Timeout) -> Awaitable<bool>;

  /// Sends \p Request. Returns false if it may have been sent in part only.
  /// Precondition: connected.
  auto send(HttpRequest const &Request, Duration Timeout) -> Awaitable<bool>;

  /// Reads the header section of the answer. Returns its status, or 0.
  auto readHeader(Duration Timeout) -> Awaitable<unsigned>;

  [[nodiscard]] auto contentType() const -> std::string;

  /// Returns the value of \p Name in the answer's header, or an empty string.
  [[nodiscard]] auto field(std::string_view Name) const -> std::string;

  /// Reads the next part of the body into \p Out. Returns false at the end of
  /// the body and on errors; isComplete tells which.
  auto readSome(std::string &Out, Duration Timeout) -> Awaitable<bool>;

  /// Returns whether the whole answer was read.
  [[nodiscard]] auto isComplete() const -> bool;

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
