#include "LibNet/HttpClient.h"

#include "LibNet/Endpoint.h"

#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dotterel {

namespace {

constexpr auto ReadBufferBytes = std::size_t{2048};
constexpr auto MaximumAnswerBytes = std::uint64_t{64} << 20U;
/// A peer that acknowledges nothing for this long is taken for dead: well
/// above any round trip within a deployment, well below what callers wait.
constexpr auto DeadPeerTimeoutMs = 1000;
constexpr auto ProbeAfterSeconds = 1;
constexpr auto ProbeIntervalSeconds = 1;
constexpr auto ProbesBeforeDead = 2;

/// Makes the kernel notice a peer that is silent or cut off.
auto watchPeer(int Handle) -> void {
  auto set = [Handle](int Level, int Name, int Value) {
    // Best effort: without it only time-outs notice a dead peer.
    (void)::setsockopt(Handle, Level, Name, &Value, sizeof Value);
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, ProbeAfterSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, ProbeIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, ProbesBeforeDead);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, DeadPeerTimeoutMs);
}

auto isInterim(unsigned Status) -> bool { return Status < 200; }

} // namespace

struct HttpConnection::Implementation {
  explicit Implementation(asio::any_io_executor const &Executor)
      : Stream(Executor) {
    expectNext();
  }

  auto expectNext() -> void {
    Parser.emplace();
    Parser->body_limit(MaximumAnswerBytes);
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<http::response_parser<http::buffer_body>> Parser;
};

HttpConnection::HttpConnection(asio::any_io_executor const &Executor)
    : Self(std::make_unique<Implementation>(Executor)) {}

HttpConnection::~HttpConnection() = default;

auto HttpConnection::connect(std::string_view Address, Duration Timeout)
    -> Awaitable<bool> {
  auto ec = boost::system::error_code{};
  Self->Stream.expires_after(Timeout);
  co_await Self->Stream.async_connect(parseEndpoint(Address), useError(ec));
  if (ec)
    co_return false;
  Self->Stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  watchPeer(Self->Stream.socket().native_handle());
  co_return !ec;
}

auto HttpConnection::send(HttpRequest const &Request, Duration Timeout)
    -> Awaitable<bool> {
  auto message = http::request<http::span_body<char const>>{};
  message.method_string(Request.Method);
  message.target(Request.Target);
  message.version(11);
  if (!Request.ContentType.empty())
    message.set(http::field::content_type, Request.ContentType);
  for (auto const &it : Request.Fields)
    message.insert(it.Name, it.Value);
  if (message.find(http::field::host) == message.end())
    message.set(http::field::host, "dotterel");
  message.body() = {Request.Body.data(), Request.Body.size()};
  if (!Request.Body.empty() || Request.Method != "GET")
    message.content_length(Request.Body.size());
  Self->expectNext();
  auto ec = boost::system::error_code{};
  Self->Stream.expires_after(Timeout);
  co_await http::async_write(Self->Stream, message, useError(ec));
  co_return !ec;
}

auto HttpConnection::roundTrip(HttpRequest const &Request, Duration Timeout,
                               Duration Wait)
    -> Awaitable<std::optional<HttpResponse>> {
  if (!co_await send(Request, Timeout))
    co_return std::nullopt;
  auto reply = HttpResponse{};
  reply.Status = co_await readHeader(Wait);
  if (reply.Status == 0)
    co_return std::nullopt;
  reply.ContentType = contentType();
  while (co_await readSome(reply.Body, Timeout)) {
  }
  if (!isComplete())
    co_return std::nullopt;
  co_return reply;
}

auto HttpConnection::readHeader(Duration Timeout) -> Awaitable<unsigned> {
  auto ec = boost::system::error_code{};
  Self->Stream.expires_after(Timeout);
  while (true) {
    co_await http::async_read_header(Self->Stream, Self->Buffer, *Self->Parser,
                                     useError(ec));
    if (ec)
      co_return 0;
    auto status = Self->Parser->get().result_int();
    if (!isInterim(status))
      co_return status;
    Self->expectNext();
  }
}

auto HttpConnection::contentType() const -> std::string {
  return field("content-type");
}

auto HttpConnection::field(std::string_view Name) const -> std::string {
  auto value = Self->Parser->get()[{Name.data(), Name.size()}];
  return {value.data(), value.size()};
}

auto HttpConnection::readSome(std::string &Out, Duration Timeout)
    -> Awaitable<bool> {
  if (Self->Parser->is_done())
    co_return false;
  auto buf = std::array<char, ReadBufferBytes>{};
  auto &body = Self->Parser->get().body();
  body.data = buf.data();
  body.size = buf.size();
  body.more = true;
  auto ec = boost::system::error_code{};
  Self->Stream.expires_after(Timeout);
  co_await http::async_read_some(Self->Stream, Self->Buffer, *Self->Parser,
                                 useError(ec));
  if (ec && ec != http::error::need_buffer)
    co_return false;
  Out.append(buf.data(), buf.size() - body.size);
  co_return true;
}

auto HttpConnection::isComplete() const -> bool {
  return Self->Parser->is_done();
}

auto HttpConnection::expectNext() -> void { Self->expectNext(); }

auto HttpConnection::visitFields(FieldVisitor const &Visitor) const -> void {
  for (auto const &it : Self->Parser->get())
    Visitor({it.name_string().data(), it.name_string().size()},
            {it.value().data(), it.value().size()});
}

auto HttpConnection::isReusable() const -> bool {
  return Self->Parser->is_done() && Self->Parser->get().keep_alive() &&
         !Self->Parser->get().need_eof() && Self->Buffer.size() == 0;
}

auto HttpConnection::isIdle() -> bool {
  auto byte = char{};
  auto n = ::recv(Self->Stream.socket().native_handle(), &byte, 1,
                  MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto HttpConnection::close() -> void { Self->Stream.close(); }

auto exchange(std::string Address, HttpRequest Request, Duration Timeout)
    -> Awaitable<HttpResult> {
  auto executor = co_await asio::this_coro::executor;
  auto connection = HttpConnection(executor);
  if (!co_await connection.connect(Address, Timeout))
    co_return HttpResult{{}, ExchangeError::NotConnected};
  auto reply = co_await connection.roundTrip(Request, Timeout, Timeout);
  if (!reply)
    co_return HttpResult{{}, ExchangeError::Broken};
  co_return HttpResult{std::move(reply), {}};
}

} // namespace dotterel
