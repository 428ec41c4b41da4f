#include "LibNet/HttpClient.h"

#include "LibNet/Endpoint.h"

#include <array>

namespace dotterel {

namespace {

constexpr auto ReadBufferBytes = std::size_t{2048};
constexpr auto MaximumAnswerBytes = std::uint64_t{64} << 20U;

} // namespace

struct HttpConnection::Implementation {
  explicit Implementation(asio::any_io_executor const &Executor)
      : Stream(Executor) {
    Parser.body_limit(MaximumAnswerBytes);
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  http::response_parser<http::buffer_body> Parser;
};

HttpConnection::HttpConnection(asio::any_io_executor const &Executor)
    : Self(std::make_unique<Implementation>(Executor)) {}

HttpConnection::~HttpConnection() = default;

auto HttpConnection::connect(std::string_view Address, Duration Timeout)
    -> Awaitable<bool> {
  auto ec = boost::system::error_code{};
  Self->Stream.expires_after(Timeout);
  co_await Self->Stream.async_connect(parseEndpoint(Address), useError(ec));
  if (!ec)
    Self->Stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  co_return !ec;
}

auto HttpConnection::send(HttpRequest const &Request, Duration Timeout)
    -> Awaitable<bool> {
  auto message = http::request<http::span_body<char const>>{};
  message.method_string(Request.Method);
  message.target(Request.Target);
  message.version(11);
  message.set(http::field::host, "dotterel");
  if (!Request.ContentType.empty())
    message.set(http::field::content_type, Request.ContentType);
  for (auto const &it : Request.Fields)
    message.set(it.Name, it.Value);
  message.body() = {Request.Body.data(), Request.Body.size()};
  if (!Request.Body.empty() || Request.Method != "GET")
    message.content_length(Request.Body.size());
  auto ec = boost::system::error_code{};
  Self->Stream.expires_after(Timeout);
  co_await http::async_write(Self->Stream, message, useError(ec));
  co_return !ec;
}

auto HttpConnection::readHeader(Duration Timeout) -> Awaitable<unsigned> {
  auto ec = boost::system::error_code{};
  Self->Stream.expires_after(Timeout);
  co_await http::async_read_header(Self->Stream, Self->Buffer, Self->Parser,
                                   useError(ec));
  if (ec)
    co_return 0;
  co_return Self->Parser.get().result_int();
}

auto HttpConnection::contentType() const -> std::string {
  return field("content-type");
}

auto HttpConnection::field(std::string_view Name) const -> std::string {
  auto value = Self->Parser.get()[{Name.data(), Name.size()}];
  return {value.data(), value.size()};
}

auto HttpConnection::readSome(std::string &Out, Duration Timeout)
    -> Awaitable<bool> {
  if (Self->Parser.is_done())
    co_return false;
  auto buf = std::array<char, ReadBufferBytes>{};
  auto &body = Self->Parser.get().body();
  body.data = buf.data();
  body.size = buf.size();
  body.more = true;
  auto ec = boost::system::error_code{};
  Self->Stream.expires_after(Timeout);
  co_await http::async_read_some(Self->Stream, Self->Buffer, Self->Parser,
                                 useError(ec));
  if (ec && ec != http::error::need_buffer)
    co_return false;
  Out.append(buf.data(), buf.size() - body.size);
  co_return true;
}

auto HttpConnection::isComplete() const -> bool {
  return Self->Parser.is_done();
}

auto HttpConnection::close() -> void { Self->Stream.close(); }

auto exchange(std::string Address, HttpRequest Request, Duration Timeout)
    -> Awaitable<HttpResult> {
  auto executor = co_await asio::this_coro::executor;
  auto connection = HttpConnection(executor);
  if (!co_await connection.connect(Address, Timeout))
    co_return HttpResult{{}, ExchangeError::NotConnected};
  if (!co_await connection.send(Request, Timeout))
    co_return HttpResult{{}, ExchangeError::Broken};
  auto status = co_await connection.readHeader(Timeout);
  if (status == 0)
    co_return HttpResult{{}, ExchangeError::Broken};
  auto reply = HttpReply{status, connection.contentType(), {}, {}};
  while (co_await connection.readSome(reply.Body, Timeout)) {
  }
  if (!connection.isComplete())
    co_return HttpResult{{}, ExchangeError::Broken};
  co_return HttpResult{std::move(reply), {}};
}

} // namespace dotterel
