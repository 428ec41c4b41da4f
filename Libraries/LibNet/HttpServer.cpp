#include "LibNet/HttpServer.h"

#include "LibCore/Log.h"
#include "LibNet/Endpoint.h"
#include "LibNet/ListedConnection.h"
#include "LibNet/ServerExchange.h"
#include "LibNet/Task.h"

#include <optional>

namespace dotterel {

namespace {

using asio::ip::tcp;

/// Cancels the operations of a socket on time-out. The socket stays open, so
/// that a response can still be written.
class ReadDeadline {
public:
  ReadDeadline(beast::tcp_stream &Stream, Duration Timeout)
      : Timer(Stream.get_executor()),
        Current(std::make_shared<Status>(&Stream, false)) {
    Timer.expires_after(Timeout);
    Timer.async_wait([status = Current](boost::system::error_code const &ec) {
      if (ec || status->Stream == nullptr)
        return;
      status->HasPassed = true;
      auto ignored = boost::system::error_code{};
      status->Stream->socket().cancel(ignored);
    });
  }
  // A handler that is queued can no longer be cancelled.
  ~ReadDeadline() { Current->Stream = nullptr; }
  ReadDeadline(ReadDeadline const &) = delete;
  auto operator=(ReadDeadline const &) -> ReadDeadline & = delete;

  [[nodiscard]] auto hasPassed() const -> bool { return Current->HasPassed; }

private:
  struct Status {
    Status(beast::tcp_stream *Stream, bool HasPassed)
        : Stream(Stream), HasPassed(HasPassed) {}

    /// Null once the deadline has been lifted.
    beast::tcp_stream *Stream;
    bool HasPassed;
  };

  asio::steady_timer Timer;
  std::shared_ptr<Status> Current;
};

/// Returns the memory that the header of \p Source needs, in the message and in
/// the copies that are made of it.
template <typename Message>
auto headerCost(Message const &Source) -> std::size_t {
  // A short field needs several times its length.
  constexpr auto FieldOverhead = std::size_t{256};
  auto bytes = std::size_t{Source.target().size()};
  for (auto const &it : Source)
    bytes += FieldOverhead + 2 * (it.name_string().size() + it.value().size());
  return bytes;
}

auto refusalCode(boost::system::error_code const &ec, bool HasHeader)
    -> ResultCode {
  if (ec == http::error::buffer_overflow && HasHeader)
    return ResultCode::OverloadedByCallers;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    return ResultCode::HeadersTooLarge;
  if (ec == http::error::body_limit)
    return ResultCode::BodyTooLarge;
  return ResultCode::MalformedRequest;
}

auto isConnectionError(boost::system::error_code const &ec) -> bool {
  return ec == http::error::end_of_stream ||
         ec == http::error::partial_message ||
         ec.category() == boost::system::system_category() ||
         ec.category() == asio::error::get_misc_category();
}

} // namespace

struct HttpServer::Implementation
    : std::enable_shared_from_this<HttpServer::Implementation> {
  Implementation(asio::io_context &Context, std::string_view Address,
                 HttpLimits NewLimits, HttpHandler Handler,
                 HttpErrorHandler ErrorHandler)
      : Acceptor(Context), Endpoint(parseEndpoint(Address)),
        Limits(std::move(NewLimits)), Handler(std::move(Handler)),
        ErrorHandler(std::move(ErrorHandler)),
        OwnBudget(std::make_shared<MemoryBudget>(OwnBudgetBytes)) {}

  auto accept() -> Awaitable<void> {
    auto self = shared_from_this();
    while (Acceptor.is_open()) {
      auto ec = boost::system::error_code{};
      auto socket = co_await Acceptor.async_accept(useError(ec));
      if (ec) {
        // Most likely out of file descriptors: wait until some are closed.
        co_await sleepFor(AcceptRetryInterval);
        continue;
      }
      socket.set_option(tcp::no_delay(true), ec);
      auto const hasRoom = Table.size() < Limits.Connections || evictIdle();
      // Refused connections hold memory, too, until their response is written.
      if (Table.size() >= Limits.Connections + Limits.Connections / 4)
        continue;
      spawnTask(Acceptor.get_executor(), "caller-connection",
                [self, hasRoom,
                 stream = std::make_shared<beast::tcp_stream>(
                     std::move(socket))]() -> Awaitable<void> {
                  auto listed = ListedConnection(self->Table, *stream);
                  co_await self->serve(*stream, listed, hasRoom);
                });
    }
  }

  /// Evicts a connection that makes no progress. Returns false if there is
  /// none.
  auto evictIdle() -> bool {
    auto const now = std::chrono::steady_clock::now();
    auto const isEvicted = Table.evictForConnection(now);
    logEviction(now, "connections");
    return isEvicted;
  }

  /// Logs at a bounded rate which resource is scarce.
  auto logEviction(Instant Now, std::string_view Kind) -> void {
    if (Now - LastEvictionLogAt < EvictionLogInterval)
      return;
    LastEvictionLogAt = Now;
    log(LogLevel::Warning, "connections-evicted",
        {{"of", Kind},
         {"evicted", Table.evictedCount()},
         {"connections", Table.size()},
         {"bytes", budget()->used()},
         {"refused", budget()->refusals()}});
  }

  [[nodiscard]] auto budget() const -> std::shared_ptr<MemoryBudget> const & {
    return Limits.Budget ? Limits.Budget : OwnBudget;
  }

  auto serve(beast::tcp_stream &Stream, ListedConnection &Listed, bool HasRoom)
      -> Awaitable<void> {
    auto buffer = beast::flat_buffer{};
    if (!HasRoom) {
      co_await refuse(Stream, buffer, ResultCode::TooManyConnections);
      co_return;
    }
    try {
      while (co_await waitForRequest(Stream, buffer, Listed) &&
             co_await serveOne(Stream, buffer, Listed)) {
      }
    } catch (boost::system::system_error const &) {
      // The caller disconnected or stopped reading: close the connection.
    } catch (std::exception const &error) {
      log(LogLevel::Error, "request-failed", {{"error", error.what()}});
    }
    Stream.close();
  }

  /// Waits until the first byte of a request has arrived.
  auto waitForRequest(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                      ListedConnection &Listed) -> Awaitable<bool> {
    // What a caller sends ahead is read only up to this limit.
    Buffer.max_size(Limits.HeaderBytes + BufferMargin);
    if (Buffer.size() > 0)
      co_return true;
    Listed.progress(ConnectionPhase::Idle, 0);
    Buffer.shrink_to_fit();
    auto ec = boost::system::error_code{};
    Stream.expires_after(Limits.IdleTimeout);
    auto n = co_await Stream.async_read_some(Buffer.prepare(FirstReadBytes),
                                             useError(ec));
    Buffer.commit(n);
    co_return !ec;
  }

  auto serveOne(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
                ListedConnection &Listed) -> Awaitable<bool> {
    // Outlives the request, whose memory it accounts for.
    auto charge = MemoryCharge(budget());
    auto parser = std::make_optional<http::request_parser<MeteredBody>>();
    parser->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
    parser->body_limit(Limits.BodyBytes);
    parser->get().body().Charge = &charge;
    parser->get().body().IsDiscarded = Limits.DiscardsBodies;
    auto ec = co_await receive(Stream, Buffer, *parser, charge, Listed);
    Listed.progress(ConnectionPhase::Responding, charge.bytes());
    auto const hasHeader = parser->is_header_done();
    // What was received must not be held while the refusal is written.
    if (ec)
      parser.reset();
    if (ec == asio::error::timed_out) {
      co_await refuse(Stream, Buffer, ResultCode::RequestTimeout);
      co_return false;
    }
    if (ec && isConnectionError(ec))
      co_return false;
    if (ec) {
      co_await refuse(Stream, Buffer, refusalCode(ec, hasHeader));
      co_return false;
    }
    auto exchange = ServerExchange(Stream, parser->release(),
                                   Limits.WriteTimeout, IsClosing);
    co_await Handler(exchange);
    co_return exchange.finish();
  }

  template <typename Parser>
  auto receive(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
               Parser &Target, MemoryCharge &Charge, ListedConnection &Listed)
      -> Awaitable<boost::system::error_code> {
    auto ec = boost::system::error_code{};
    Stream.expires_never();
    auto deadline = ReadDeadline(Stream, Limits.ReadTimeout);
    Listed.progress(ConnectionPhase::Receiving, Charge.bytes());
    co_await http::async_read_header(Stream, Buffer, Target, useError(ec));
    if (!ec && !Charge.grow(headerCost(Target.get())))
      co_return http::error::buffer_overflow;
    if (!ec && isContinueExpected(Target))
      co_await asio::async_write(Stream, asio::buffer(ContinueResponse),
                                 useError(ec));
    while (!ec && !Target.is_done()) {
      Listed.progress(ConnectionPhase::Receiving, Charge.bytes());
      evictStalled();
      co_await http::async_read_some(Stream, Buffer, Target, useError(ec));
    }
    if (ec && deadline.hasPassed())
      co_return asio::error::timed_out;
    co_return ec;
  }

  /// Evicts a connection that holds memory and has stalled, if there is little
  /// left.
  auto evictStalled() -> void {
    if (!budget()->isScarce())
      return;
    auto const now = std::chrono::steady_clock::now();
    if (Table.evictForMemory(now))
      logEviction(now, "memory");
  }

  template <typename Parser>
  static auto isContinueExpected(Parser const &Target) -> bool {
    return beast::iequals(Target.get()[http::field::expect], "100-continue");
  }

  /// Sends an error response, then drains the input before closing: closing
  /// with unread input resets the connection, and the caller may lose the
  /// response.
  auto refuse(beast::tcp_stream &Stream, beast::flat_buffer &Buffer,
              ResultCode Code) -> Awaitable<void> {
    auto response = ErrorHandler(Code);
    auto message = http::response<http::string_body>{
        http::int_to_status(response.Status), 11};
    message.keep_alive(false);
    message.set(http::field::content_type, response.ContentType);
    for (auto const &it : response.Fields)
      message.set(it.Name, it.Value);
    message.body() = std::move(response.Body);
    message.prepare_payload();
    auto ec = boost::system::error_code{};
    Stream.expires_after(ErrorResponseTimeout);
    co_await http::async_write(Stream, message, useError(ec));
    Stream.socket().shutdown(tcp::socket::shutdown_send, ec);
    for (auto n = std::size_t{0}; !ec && n < MaximumDrainedBytes;) {
      Buffer.clear();
      n += co_await Stream.async_read_some(Buffer.prepare(FirstReadBytes),
                                           useError(ec));
    }
    Stream.close();
  }

  static constexpr auto FirstReadBytes = std::size_t{2048};
  static constexpr auto MaximumDrainedBytes = std::size_t{8} << 20U;
  static constexpr auto AcceptRetryInterval = Duration{20ms};
  /// Bytes of a body or of the next request that are read with a header.
  static constexpr auto BufferMargin = std::size_t{4096};
  /// Budget of a server that shares none with others.
  static constexpr auto OwnBudgetBytes = std::size_t{32} << 20U;
  static constexpr auto EvictionLogInterval = Duration{1s};
  /// What the kernel holds for one connection.
  static constexpr auto ReceiveBufferBytes = 32 << 10;
  static constexpr auto ErrorResponseTimeout = Duration{1s};
  static constexpr auto ContinueResponse =
      std::string_view{"HTTP/1.1 100 Continue\r\n\r\n"};

  tcp::acceptor Acceptor;
  tcp::endpoint Endpoint;
  HttpLimits Limits;
  HttpHandler Handler;
  HttpErrorHandler ErrorHandler;
  std::shared_ptr<MemoryBudget> OwnBudget;
  ConnectionTable Table;
  Instant LastEvictionLogAt;
  bool IsClosing = false;
};

HttpServer::HttpServer(asio::io_context &Context, std::string_view Address,
                       HttpLimits Limits, HttpHandler Handler,
                       HttpErrorHandler ErrorHandler)
    : Impl(std::make_shared<Implementation>(Context, Address, std::move(Limits),
                                            std::move(Handler),
                                            std::move(ErrorHandler))) {}

HttpServer::~HttpServer() { stop(); }

auto HttpServer::start() -> void {
  Impl->Acceptor.open(Impl->Endpoint.protocol());
  Impl->Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Impl->Acceptor.set_option(asio::socket_base::receive_buffer_size(
      Implementation::ReceiveBufferBytes));
  Impl->Acceptor.bind(Impl->Endpoint);
  Impl->Acceptor.listen();
  spawnService(Impl->Acceptor.get_executor(), "acceptor",
               [self = Impl]() { return self->accept(); });
}

auto HttpServer::stop() -> void {
  auto ec = boost::system::error_code{};
  Impl->Acceptor.close(ec);
}

auto HttpServer::setLimits(HttpLimits Limits) -> void {
  Impl->Limits = std::move(Limits);
}

auto HttpServer::closeAfterResponses() -> void { Impl->IsClosing = true; }

auto HttpServer::connectionCount() const -> std::size_t {
  return Impl->Table.size();
}

auto HttpServer::evictedCount() const -> std::uint64_t {
  return Impl->Table.evictedCount();
}

} // namespace dotterel
