#include "LibNet/HttpClient.h"

#include "LibCore/Log.h"
#include "LibNet/Endpoint.h"

#include <array>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dotterel {

namespace {

constexpr auto ReadBufferBytes = std::size_t{2048};
constexpr auto MaximumInterimResponses = 8;
/// Bound on what is kept of a header section, chunk header or trailer that does
/// not end.
constexpr auto MaximumBufferBytes = std::size_t{64} << 10U;
/// A peer that acknowledges nothing for this long is considered dead. Well
/// above any round-trip time within a deployment, and well below the time that
/// callers wait.
constexpr auto DeadPeerTimeoutMs = 1000;
constexpr auto KeepAliveIdleSeconds = 1;
constexpr auto KeepAliveIntervalSeconds = 1;
constexpr auto KeepAliveProbes = 2;

/// Makes the kernel fail operations if the peer is dead or unreachable.
auto enableDeadPeerDetection(int Handle) -> void {
  auto set = [Handle](int Level, int Name, int Value) {
    // Best effort: without these options only time-outs detect a dead peer.
    (void)::setsockopt(Handle, Level, Name, &Value, sizeof Value);
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, DeadPeerTimeoutMs);
}

/// Range of the statuses of HTTP, both ends included.
constexpr auto MinimumStatus = 100U;
constexpr auto MaximumStatus = 599U;
constexpr auto SwitchingProtocolsStatus = 101U;

/// Returns whether a response may have \p Status. No request asks for another
/// protocol.
auto isExpected(unsigned Status) -> bool {
  return Status >= MinimumStatus && Status <= MaximumStatus &&
         Status != SwitchingProtocolsStatus;
}

/// Returns whether a line of \p Head begins with a blank, which continues the
/// value of the line before it.
auto hasFoldedLine(std::string_view Head) -> bool {
  return Head.find("\n ") != std::string_view::npos ||
         Head.find("\n\t") != std::string_view::npos;
}

auto isInterim(unsigned Status) -> bool { return Status < 200; }

} // namespace

struct HttpConnection::Implementation {
  explicit Implementation(asio::any_io_executor const &Executor)
      : Stream(Executor), Buffer(MaximumBufferBytes) {
    expectResponse();
  }

  auto expectResponse() -> void {
    Parser.emplace();
    Parser->body_limit(BodyLimit);
  }

  /// Reads one header section. A folded line is an error (RFC 9112, section
  /// 5.2): the server may mean it as a field of its own.
  auto readHeader(boost::system::error_code &ec) -> Awaitable<void> {
    while (true) {
      auto const buf = Buffer.data();
      auto const n = Parser->put(buf, ec);
      if (hasFoldedLine({static_cast<char const *>(buf.data()), n}))
        ec = http::error::bad_field;
      Buffer.consume(n);
      if (ec != http::error::need_more)
        co_return;
      Buffer.commit(co_await Stream.async_read_some(
          Buffer.prepare(ReadBufferBytes), useError(ec)));
      if (ec)
        co_return;
    }
  }

  beast::tcp_stream Stream;
  std::uint64_t BodyLimit = DefaultBodyLimit;
  /// Whether the connection failed while the last request was sent. The kernel
  /// reports the error once: the reads that follow see an orderly end.
  bool HasFailed = false;
  beast::flat_buffer Buffer;
  std::optional<http::response_parser<http::buffer_body>> Parser;
};

HttpConnection::HttpConnection(asio::any_io_executor const &Executor)
    : Impl(std::make_unique<Implementation>(Executor)) {}

HttpConnection::~HttpConnection() = default;

auto HttpConnection::connect(std::string_view Address, Duration Timeout)
    -> Awaitable<bool> {
  auto const endpoint = findEndpoint(Address);
  if (!endpoint) {
    log(LogLevel::Warning, "address-invalid", {{"address", Address}});
    co_return false;
  }
  auto ec = boost::system::error_code{};
  Impl->Stream.expires_after(Timeout);
  co_await Impl->Stream.async_connect(*endpoint, useError(ec));
  if (ec)
    co_return false;
  Impl->Stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  enableDeadPeerDetection(Impl->Stream.socket().native_handle());
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
  Impl->expectResponse();
  auto ec = boost::system::error_code{};
  Impl->Stream.expires_after(Timeout);
  co_await http::async_write(Impl->Stream, message, useError(ec));
  // A broken pipe is no such failure: the server ended its side in order before
  // it reset the connection.
  Impl->HasFailed = ec && ec != asio::error::broken_pipe;
  co_return !ec;
}

auto HttpConnection::roundTrip(HttpRequest const &Request, Duration Timeout,
                               Duration HeaderTimeout)
    -> Awaitable<std::optional<HttpResponse>> {
  if (!co_await send(Request, Timeout))
    co_return std::nullopt;
  auto response = HttpResponse{};
  response.Status = co_await readHeader(HeaderTimeout);
  if (response.Status == 0)
    co_return std::nullopt;
  response.ContentType = contentType();
  visitFields([&](std::string_view Name, std::string_view Value) {
    response.Fields.push_back({std::string(Name), std::string(Value)});
  });
  while (co_await readSome(response.Body, Timeout)) {
  }
  if (!isComplete())
    co_return std::nullopt;
  co_return response;
}

auto HttpConnection::readHeader(Duration Timeout) -> Awaitable<unsigned> {
  auto ec = boost::system::error_code{};
  Impl->Stream.expires_after(Timeout);
  for (auto n = 0; n <= MaximumInterimResponses; ++n) {
    co_await Impl->readHeader(ec);
    if (ec)
      co_return 0;
    auto status = Impl->Parser->get().result_int();
    if (!isExpected(status)) {
      log(LogLevel::Warning, "response-status-invalid", {{"status", status}});
      co_return 0;
    }
    if (!isInterim(status))
      co_return status;
    Impl->expectResponse();
  }
  co_return 0;
}

auto HttpConnection::limitBody(std::uint64_t Bytes) -> void {
  Impl->BodyLimit = Bytes;
}

auto HttpConnection::contentType() const -> std::string {
  return field("content-type");
}

auto HttpConnection::field(std::string_view Name) const -> std::string {
  auto value = Impl->Parser->get()[{Name.data(), Name.size()}];
  return {value.data(), value.size()};
}

auto HttpConnection::framing() const -> BodyFraming {
  if (Impl->Parser->chunked())
    return BodyFraming::Chunked;
  return Impl->Parser->need_eof() ? BodyFraming::UntilClose
                                  : BodyFraming::Length;
}

auto HttpConnection::bodyLength() const -> std::optional<std::uint64_t> {
  auto const length = Impl->Parser->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

auto HttpConnection::readSome(std::string &Out, Duration Timeout)
    -> Awaitable<bool> {
  if (Impl->Parser->is_done())
    co_return false;
  auto buf = std::array<char, ReadBufferBytes>{};
  auto &body = Impl->Parser->get().body();
  body.data = buf.data();
  body.size = buf.size();
  body.more = true;
  auto ec = boost::system::error_code{};
  Impl->Stream.expires_after(Timeout);
  co_await http::async_read_some(Impl->Stream, Impl->Buffer, *Impl->Parser,
                                 useError(ec));
  if (ec && ec != http::error::need_buffer)
    co_return false;
  Out.append(buf.data(), buf.size() - body.size);
  co_return true;
}

auto HttpConnection::isComplete() const -> bool {
  if (Impl->HasFailed && Impl->Parser->need_eof())
    return false;
  return Impl->Parser->is_done();
}

auto HttpConnection::expectResponse() -> void { Impl->expectResponse(); }

auto HttpConnection::visitFields(FieldVisitor const &Visitor) const -> void {
  for (auto const &it : Impl->Parser->get())
    Visitor({it.name_string().data(), it.name_string().size()},
            {it.value().data(), it.value().size()});
}

auto HttpConnection::isReusable() const -> bool {
  return Impl->Parser->is_done() && Impl->Parser->get().keep_alive() &&
         !Impl->Parser->get().need_eof() && Impl->Buffer.size() == 0;
}

auto HttpConnection::isIdle() -> bool {
  auto byte = char{};
  auto n = ::recv(Impl->Stream.socket().native_handle(), &byte, 1,
                  MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto HttpConnection::close() -> void { Impl->Stream.close(); }

auto exchange(std::string Address, HttpRequest Request, Duration Timeout,
              std::uint64_t BodyLimit) -> Awaitable<HttpResult> {
  auto executor = co_await asio::this_coro::executor;
  auto connection = HttpConnection(executor);
  connection.limitBody(BodyLimit);
  if (!co_await connection.connect(Address, Timeout))
    co_return HttpResult{{}, ExchangeError::NotConnected};
  auto response = co_await connection.roundTrip(Request, Timeout, Timeout);
  if (!response)
    co_return HttpResult{{}, ExchangeError::Interrupted};
  co_return HttpResult{std::move(response), {}};
}

} // namespace dotterel
