#include "LibGateway/CallerServer.h"

#include "LibCore/BootClock.h"
#include "LibCore/Log.h"
#include "platform/Headers.h"
#include "platform/Store.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <unordered_map>
#include <variant>

namespace dotterel {

namespace {

using relay::RequestNumber;

constexpr auto JsonType = std::string_view{"application/json"};
constexpr auto ReadyPath = std::string_view{"/-/ready"};
constexpr auto SteeringPath = std::string_view{"/-/resolve"};
constexpr auto StatusOk = 200U;
constexpr auto StatusNotFound = 404U;
constexpr auto StatusUnavailable = 503U;
/// Limits on callers' connections: file descriptors are limited, and each
/// connection holds up to a tenth of a megabyte.
constexpr auto MaximumConnections = std::size_t{1500};
constexpr auto ConnectionsPerMegabyte = std::size_t{8};
/// Part of the descriptors for callers; servers, peers and the store need the
/// others.
constexpr auto CallerDescriptorShare = 3;
/// Part of the memory for what callers send and have not read.
constexpr auto CallerMemoryShare = 4;
constexpr auto MaximumInternalConnections = std::size_t{200};
/// Applies to connections for steering and readiness checks.
constexpr auto InternalIdleTimeout = Duration{10s};

/// Maximum number of bytes of a stream that wait to be written to its caller.
constexpr auto MaximumBacklogBytes = std::size_t{4} << 20U;
/// A large body is read from its server up to this far ahead of its caller.
constexpr auto MaximumAheadBytes = std::size_t{256} << 10U;
/// Part of the callers' memory that large bodies may use to read ahead.
constexpr auto AheadMemoryShare = 4;

using CallerEffect =
    std::variant<relay::ForwardResponse, relay::BeginStream,
                 relay::ForwardBytes, relay::EndStream, relay::AbortStream,
                 relay::SendErrorResponse, relay::SendSteeringResponse>;

/// The effects that still have to be written to the caller of one request.
struct Session {
  explicit Session(asio::io_context &Context) : Wake(Context), Room(Context) {
    Wake.expires_at(asio::steady_timer::time_point::max());
    Room.expires_at(asio::steady_timer::time_point::max());
  }

  auto push(CallerEffect Effect) -> void {
    Pending.push_back(std::move(Effect));
    Wake.cancel();
  }

  asio::steady_timer Wake;
  /// Cancelled when bytes were written.
  asio::steady_timer Room;
  std::deque<CallerEffect> Pending;
  /// Request id that the caller chose; empty for steering requests.
  std::string RequestId;
  /// Number of bytes of ForwardBytes effects in Pending or being written.
  std::size_t BacklogBytes = 0;
};

auto errorResponse(ResultCode Code, std::optional<Duration> RetryAfter)
    -> HttpResponse {
  auto const &entry = describe(Code);
  auto response = HttpResponse{entry.HttpStatus, std::string(JsonType), {}, {}};
  response.Body =
      fmt::format(R"({{"code":{},"name":"{}","message":"{}"}})",
                  static_cast<int>(Code), entry.Name, entry.Meaning);
  if (RetryAfter)
    response.Fields.push_back(
        {"Retry-After", fmt::format("{:.2f}", toSeconds(*RetryAfter))});
  return response;
}

} // namespace

struct CallerServer::Implementation {
  struct SessionTable {
    std::unordered_map<RequestNumber, std::shared_ptr<Session>> ByNumber;
    /// Bytes of all sessions that wait to be written.
    std::size_t BacklogBytes = 0;
  };

  /// Removes a session when its response has ended in any way.
  class SessionEnd {
  public:
    SessionEnd(std::shared_ptr<SessionTable> const &Table, RequestNumber Number)
        : Table(Table), Number(Number) {}
    ~SessionEnd() {
      // When the process ends, connections outlive their server.
      auto const table = Table.lock();
      if (!table)
        return;
      auto it = table->ByNumber.find(Number);
      table->BacklogBytes -= it->second->BacklogBytes;
      it->second->Room.cancel();
      table->ByNumber.erase(it);
    }
    SessionEnd(SessionEnd const &) = delete;
    auto operator=(SessionEnd const &) -> SessionEnd & = delete;

  private:
    std::weak_ptr<SessionTable> Table;
    RequestNumber Number;
  };

  Implementation(asio::io_context &Context, GatewaySettings const &Settings,
                 RelayLoop &Loop)
      : Context(Context), Loop(Loop), MemoryMegabytes(Settings.MemoryMegabytes),
        Descriptors(Settings.Descriptors),
        Budget(std::make_shared<MemoryBudget>((MemoryMegabytes << 20U) /
                                              CallerMemoryShare)),
        Callers(Context, Settings.Self.CallerAddress, callerLimits({}),
                handler(&Implementation::serveCaller), refuse),
        Readiness(Context, Settings.ReadinessAddress, internalLimits(),
                  handler(&Implementation::serveReadiness), refuse),
        Directory(Context, Settings.DirectoryAddress, internalLimits(),
                  handler(&Implementation::serveSteering), refuse) {}

  [[nodiscard]] auto callerLimits(relay::CallerLimits const &Limits) const
      -> HttpLimits {
    auto limits = HttpLimits{};
    limits.Budget = Budget;
    limits.BodyBytes = Limits.BodyBytes;
    limits.HeaderBytes = Limits.HeaderBytes;
    limits.Connections =
        std::min({MaximumConnections, MemoryMegabytes * ConnectionsPerMegabyte,
                  Descriptors / CallerDescriptorShare});
    limits.ReadTimeout = Limits.HeaderTimeout;
    limits.IdleTimeout = Limits.IdleTimeout;
    return limits;
  }

  [[nodiscard]] auto internalLimits() const -> HttpLimits {
    auto limits = HttpLimits{};
    limits.Budget = Budget;
    limits.Connections = MaximumInternalConnections;
    limits.DiscardsBodies = true;
    limits.IdleTimeout = InternalIdleTimeout;
    return limits;
  }

  static auto refuse(ResultCode Code) -> HttpResponse {
    return errorResponse(Code, std::nullopt);
  }

  auto handler(Awaitable<void> (Implementation::*Serve)(HttpExchange &))
      -> HttpHandler {
    return [this, Serve](HttpExchange &Exchange) {
      return (this->*Serve)(Exchange);
    };
  }

  auto serveReadiness(HttpExchange &Exchange) -> Awaitable<void> {
    auto isKnown = Exchange.path() == ReadyPath;
    auto status = Loop.state().isReady() ? StatusOk : StatusUnavailable;
    co_await Exchange.respond({isKnown ? status : StatusNotFound, "", {}, ""});
  }

  auto serveSteering(HttpExchange &Exchange) -> Awaitable<void> {
    if (Exchange.path() != SteeringPath)
      co_return co_await Exchange.respond({StatusNotFound, "", {}, ""});
    auto number = ++LastRequest;
    auto session = open(number);
    Loop.feed(relay::SteeringRequested{number});
    auto const ended = SessionEnd(Sessions, number);
    co_await writeAll(Exchange, *session);
  }

  auto open(RequestNumber Number) -> std::shared_ptr<Session> {
    auto session = std::make_shared<Session>(Context);
    Sessions->ByNumber[Number] = session;
    return session;
  }

  auto serveCaller(HttpExchange &Exchange) -> Awaitable<void> {
    auto number = ++LastRequest;
    auto session = open(number);
    Exchange.notifyOnDisconnect([this, number, session] {
      Loop.feed(relay::CallerDisconnected{number});
      session->push(relay::AbortStream{number});
    });
    auto content =
        std::make_shared<relay::Request const>(platform::readRequest(Exchange));
    session->RequestId = content->Id;
    Loop.feed(relay::RequestArrived{number, std::move(content), bootTime()});
    auto const ended = SessionEnd(Sessions, number);
    try {
      co_await writeAll(Exchange, *session);
    } catch (...) {
      // Usually the caller disconnected or stopped reading.
      Loop.feed(relay::CallerDisconnected{number});
      throw;
    }
  }

  /// Writes the effects for the caller until its response is complete.
  auto writeAll(HttpExchange &Exchange, Session &Target) -> Awaitable<void> {
    while (true) {
      if (Target.Pending.empty()) {
        auto ec = boost::system::error_code{};
        co_await Target.Wake.async_wait(useError(ec));
        continue;
      }
      auto effect = std::move(Target.Pending.front());
      Target.Pending.pop_front();
      auto const *bytes = std::get_if<relay::ForwardBytes>(&effect);
      auto const n = bytes == nullptr ? 0 : bytes->Bytes.size();
      auto isLast = co_await std::visit(
          [&](auto &Effect) { return write(Exchange, Effect); }, effect);
      // The backlog may have been abandoned meanwhile.
      shrinkBacklog(Target, std::min(n, Target.BacklogBytes));
      if (isLast)
        co_return;
    }
  }

  static auto write(HttpExchange &Exchange, relay::ForwardResponse &Effect)
      -> Awaitable<bool> {
    co_await Exchange.respond({Effect.Response.Status, "",
                               std::move(Effect.Response.Fields),
                               std::move(Effect.Response.Body)});
    co_return true;
  }

  static auto write(HttpExchange &Exchange, relay::BeginStream &Effect)
      -> Awaitable<bool> {
    auto header = HttpResponse{Effect.Header.Status, "",
                               std::move(Effect.Header.Fields), ""};
    if (Effect.Header.Length)
      co_await Exchange.beginResponse(std::move(header), *Effect.Header.Length);
    else
      co_await Exchange.beginResponse(std::move(header));
    co_return false;
  }

  auto shrinkBacklog(Session &Target, std::size_t Bytes) -> void {
    Target.BacklogBytes -= Bytes;
    Sessions->BacklogBytes -= Bytes;
    Target.Room.cancel();
  }

  /// Returns whether no more should be read for \p Target now.
  [[nodiscard]] auto isAhead(Session const &Target) const -> bool {
    if (Target.BacklogBytes > MaximumAheadBytes)
      return true;
    return Sessions->BacklogBytes > Budget->limit() / AheadMemoryShare &&
           Target.BacklogBytes > 0;
  }

  /// Returns whether more waits to be written to \p Target than its share, or
  /// it holds more than most while all together hold too much.
  [[nodiscard]] auto isBacklogExceeded(Session const &Target) const -> bool {
    if (Target.BacklogBytes > MaximumBacklogBytes)
      return true;
    return Sessions->BacklogBytes > Budget->limit() / 2 &&
           Target.BacklogBytes * Sessions->ByNumber.size() >
               Sessions->BacklogBytes;
  }

  /// Closes the connection of a caller that reads too slowly, and cancels its
  /// request.
  auto abandonBacklog(RequestNumber Number, Session &Target) -> void {
    log(LogLevel::Warning, "caller-backlog-exceeded",
        {{"id", Target.RequestId}, {"bytes", Target.BacklogBytes}});
    Target.Pending.clear();
    shrinkBacklog(Target, Target.BacklogBytes);
    Target.push(relay::AbortStream{Number});
    Loop.feed(relay::CallerDisconnected{Number});
  }

  static auto write(HttpExchange &Exchange, relay::ForwardBytes &Effect)
      -> Awaitable<bool> {
    co_await Exchange.writeChunk(Effect.Bytes);
    co_return false;
  }

  static auto write(HttpExchange &Exchange, relay::EndStream & /*Effect*/)
      -> Awaitable<bool> {
    co_await Exchange.endStream();
    co_return true;
  }

  static auto write(HttpExchange &Exchange, relay::AbortStream & /*Effect*/)
      -> Awaitable<bool> {
    Exchange.abort();
    co_return true;
  }

  static auto write(HttpExchange &Exchange, relay::SendErrorResponse &Effect)
      -> Awaitable<bool> {
    co_await Exchange.respond(errorResponse(Effect.Code, Effect.RetryAfter));
    co_return true;
  }

  static auto write(HttpExchange &Exchange, relay::SendSteeringResponse &Effect)
      -> Awaitable<bool> {
    if (Effect.Addresses.empty())
      co_await Exchange.respond(refuse(ResultCode::NotConfigured));
    else
      co_await Exchange.respond(
          {StatusOk,
           std::string(JsonType),
           {},
           platform::writeSteering(Effect.Addresses, Effect.Lifetime)});
    co_return true;
  }

  auto find(RequestNumber Number) -> Session * {
    auto it = Sessions->ByNumber.find(Number);
    return it == Sessions->ByNumber.end() ? nullptr : it->second.get();
  }

  auto push(RequestNumber Number, CallerEffect Effect) -> void {
    if (auto *session = find(Number))
      session->push(std::move(Effect));
  }

  asio::io_context &Context; // NOLINT: outlives this object
  RelayLoop &Loop;           // NOLINT
  std::size_t MemoryMegabytes;
  std::size_t Descriptors;
  std::shared_ptr<MemoryBudget> Budget;
  HttpServer Callers;
  HttpServer Readiness;
  HttpServer Directory;
  RequestNumber LastRequest = 0;
  std::shared_ptr<SessionTable> Sessions = std::make_shared<SessionTable>();
};

CallerServer::CallerServer(asio::io_context &Context,
                           GatewaySettings const &Settings, RelayLoop &Loop)
    : Impl(std::make_unique<Implementation>(Context, Settings, Loop)) {}

CallerServer::~CallerServer() = default;

auto CallerServer::start() -> void {
  Impl->Readiness.start();
  Impl->Directory.start();
  Impl->Callers.start();
}

auto CallerServer::run(relay::ForwardResponse &Effect) -> void {
  auto number = Effect.Number;
  Impl->push(number, std::move(Effect));
}

auto CallerServer::run(relay::BeginStream &Effect) -> void {
  auto number = Effect.Number;
  Impl->push(number, std::move(Effect));
}

auto CallerServer::run(relay::ForwardBytes &Effect) -> void {
  auto *session = Impl->find(Effect.Number);
  if (session == nullptr)
    return;
  auto number = Effect.Number;
  session->BacklogBytes += Effect.Bytes.size();
  Impl->Sessions->BacklogBytes += Effect.Bytes.size();
  session->push(std::move(Effect));
  if (Impl->isBacklogExceeded(*session))
    Impl->abandonBacklog(number, *session);
}

auto CallerServer::run(relay::EndStream &Effect) -> void {
  Impl->push(Effect.Number, Effect);
}

auto CallerServer::run(relay::AbortStream &Effect) -> void {
  Impl->push(Effect.Number, Effect);
}

auto CallerServer::run(relay::SendErrorResponse &Effect) -> void {
  Impl->push(Effect.Number, Effect);
}

auto CallerServer::run(relay::SendSteeringResponse &Effect) -> void {
  auto number = Effect.Number;
  Impl->push(number, std::move(Effect));
}

auto CallerServer::applyLimits(relay::CallerLimits const &Limits) -> void {
  Impl->Callers.setLimits(Impl->callerLimits(Limits));
}

auto CallerServer::closeAfterResponses() -> void {
  Impl->Callers.closeAfterResponses();
}

auto CallerServer::load() const -> CallerLoad {
  return {Impl->Callers.connectionCount(), Impl->Budget->used(),
          Impl->Sessions->BacklogBytes, Impl->Budget->refusals(),
          Impl->Callers.evictedCount()};
}

auto CallerServer::awaitRoom(RequestNumber Number) -> Awaitable<void> {
  while (true) {
    auto const it = Impl->Sessions->ByNumber.find(Number);
    if (it == Impl->Sessions->ByNumber.end() || !Impl->isAhead(*it->second))
      co_return;
    auto const session = it->second;
    auto ec = boost::system::error_code{};
    co_await session->Room.async_wait(useError(ec));
  }
}

auto CallerServer::isIdle() const -> bool {
  return Impl->Sessions->ByNumber.empty();
}

} // namespace dotterel
