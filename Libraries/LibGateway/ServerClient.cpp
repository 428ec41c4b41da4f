#include "LibGateway/ServerClient.h"

#include "LibCore/BootClock.h"
#include "LibCore/Log.h"
#include "LibNet/Task.h"
#include "platform/Headers.h"

#include <algorithm>
#include <charconv>

namespace dotterel {

namespace {

using relay::AttemptId;

/// Servers accept connections within a few milliseconds; one that takes this
/// long is down.
constexpr auto ConnectTimeout = Duration{400ms};
/// Limit on each wait for a server; the reducer cancels attempts long before
/// it is reached.
constexpr auto ExchangeTimeout = Duration{60s};
constexpr auto ReleasePrefillTimeout = Duration{1s};
/// Bodies up to this size are read before they are passed on, so that a request
/// can be repeated if its response is truncated.
constexpr auto MaximumBufferedBytes = std::size_t{32} << 10U;
/// Larger bodies are passed on in parts of about this size.
constexpr auto BodyPartBytes = std::size_t{32} << 10U;
/// Maximum size of a body whose length is not known, and of the body of a
/// response to another request.
constexpr auto MaximumUnknownBytes = std::size_t{16} << 20U;
/// Maximum size of the body of a response that is not forwarded: prefill
/// handles, reports, results of orders.
constexpr auto MaximumControlBytes = std::size_t{1} << 20U;
/// Maximum number of responses to other requests before the expected one.
constexpr auto MaximumSkippedResponses = 4;
/// Number of requests in the history of a connection.
constexpr auto MaximumHistory = std::size_t{64};
/// Idle connections are closed this long before the server closes them, or
/// after DefaultIdleTimeout if the server does not announce a time-out.
constexpr auto IdleMargin = Duration{700ms};
constexpr auto DefaultIdleTimeout = Duration{4s};
constexpr auto StatusOk = 200U;
constexpr auto StatusAccepted = 202U;
/// Servers respond to orders and report requests within milliseconds.
constexpr auto OrderTimeout = Duration{500ms};

/// Returns how long the connection may stay idle, from "timeout=SECONDS" in the
/// Keep-Alive header.
auto idleTimeout(HttpConnection const &Connection) -> Duration {
  auto value = Connection.field("Keep-Alive");
  constexpr auto Key = std::string_view{"timeout="};
  auto at = value.find(Key);
  if (at == std::string::npos)
    return DefaultIdleTimeout;
  auto n = 0;
  auto rest = std::string_view(value).substr(at + Key.size());
  auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), n);
  if (parsed.ec != std::errc{})
    return DefaultIdleTimeout;
  return std::max(Duration{}, Duration{1s} * n - IdleMargin);
}

} // namespace

struct ServerClient::Implementation {
  Implementation(asio::io_context &Context, RelayLoop &Loop,
                 RoomWaiter AwaitRoom)
      : Context(Context), Loop(Loop), AwaitRoom(std::move(AwaitRoom)) {}

  using ConnectionPointer = std::shared_ptr<HttpConnection>;

  /// Hashes of the last requests on a connection, the latest last.
  using RequestHistory = std::vector<std::uint64_t>;

  struct IdleConnection {
    ConnectionPointer Connection;
    Instant ExpiresAt;
    RequestHistory History;
  };

  /// Idle connections to one address, the most recently used last.
  struct Pool {
    std::vector<IdleConnection> Connections;
  };

  /// An attempt in progress and its connection.
  struct ActiveAttempt {
    ConnectionPointer Connection;
    std::string Address;
    std::uint32_t IdleLimit = 1;
    std::uint64_t RequestHash = 0;
    /// Requests on the connection before this one.
    RequestHistory History;
    bool IsCancelled = false;
  };
  using ActiveAttemptPointer = std::shared_ptr<ActiveAttempt>;

  /// Takes an idle connection for \p Target. Returns false if there is none.
  auto takeIdle(ActiveAttempt &Target) -> bool {
    auto pool = Pools.find(Target.Address);
    if (pool == Pools.end())
      return false;
    auto &kept = pool->second.Connections;
    for (auto n = kept.size(); n-- > 0;) {
      auto const &history = kept[n].History;
      if (std::ranges::find(history, Target.RequestHash) != history.end())
        continue;
      auto idle = std::move(kept[n]);
      kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(n));
      if (std::chrono::steady_clock::now() < idle.ExpiresAt &&
          idle.Connection->isIdle()) {
        Target.Connection = std::move(idle.Connection);
        Target.History = std::move(idle.History);
        return true;
      }
      idle.Connection->close();
    }
    return false;
  }

  auto release(AttemptId Attempt, ActiveAttempt const &Target) -> void {
    auto &connection = *Target.Connection;
    auto &kept = Pools[Target.Address].Connections;
    if (Target.IsCancelled || !connection.isReusable() ||
        kept.size() >= Target.IdleLimit)
      return connection.close();
    auto idleUntil = std::chrono::steady_clock::now() + idleTimeout(connection);
    auto history = Target.History;
    if (history.size() >= MaximumHistory)
      history.erase(history.begin());
    history.push_back(Target.RequestHash);
    kept.push_back({Target.Connection, idleUntil, std::move(history)});
    Loop.feed(relay::ConnectionReleased{Attempt, idleUntil});
  }

  auto connect(AttemptId Attempt, ActiveAttemptPointer Target)
      -> Awaitable<void> {
    if (takeIdle(*Target)) {
      Loop.feed(relay::AttemptConnected{Attempt});
      co_return;
    }
    Target->Connection =
        std::make_shared<HttpConnection>(Context.get_executor());
    auto connection = Target->Connection;
    auto isDone = co_await connection->connect(Target->Address, ConnectTimeout);
    if (Target->IsCancelled)
      co_return;
    if (isDone) {
      Loop.feed(relay::AttemptConnected{Attempt});
      co_return;
    }
    Attempts.erase(Attempt);
    Loop.feed(relay::AttemptUnreachable{Attempt, "connection failed"});
  }

  /// Reads the header of the response to \p Effect and skips responses that
  /// belong to earlier requests, after which the connection cannot be reused.
  /// Returns the status, or 0 on errors.
  static auto readHeader(relay::SendAttempt const &Effect,
                         ActiveAttempt const &Target, bool &CanReuse)
      -> Awaitable<unsigned> {
    auto &connection = *Target.Connection;
    for (auto n = 0; n <= MaximumSkippedResponses; ++n) {
      auto status = co_await connection.readHeader(ExchangeTimeout);
      if (status == 0)
        co_return 0;
      auto const owner = platform::findOwner(connection, Effect.Content->Id);
      if (owner == platform::ResponseOwner::ThisRequest)
        co_return status;
      if (owner == platform::ResponseOwner::Unknown) {
        CanReuse = false;
        if (Target.History.empty())
          co_return status;
        // It may be a second copy of an earlier response, so the request may
        // have run.
        log(LogLevel::Warning, "response-without-owner",
            {{"id", Effect.Content->Id}, {"status", status}});
        co_return 0;
      }
      log(LogLevel::Warning, "response-of-another-request",
          {{"id", Effect.Content->Id}, {"status", status}});
      CanReuse = false;
      if (!co_await skipBody(connection))
        co_return 0;
      connection.expectResponse();
    }
    co_return 0;
  }

  /// Reads and discards a body of up to MaximumUnknownBytes. Returns whether it
  /// was complete.
  static auto skipBody(HttpConnection &Connection) -> Awaitable<bool> {
    auto skipped = std::size_t{0};
    auto part = std::string{};
    while (skipped <= MaximumUnknownBytes &&
           co_await Connection.readSome(part, ExchangeTimeout)) {
      skipped += part.size();
      part.clear();
    }
    co_return Connection.isComplete();
  }

  /// Reads the body until its end or until it exceeds \p Limit bytes.
  static auto readLimited(HttpConnection &Connection, std::size_t Limit)
      -> Awaitable<std::string> {
    auto body = std::string{};
    while (body.size() <= Limit &&
           co_await Connection.readSome(body, ExchangeTimeout)) {
    }
    co_return body;
  }

  /// Sends a request and passes its response on. An exception is a failure of
  /// the attempt.
  auto send(relay::SendAttempt Effect, ActiveAttemptPointer Target)
      -> Awaitable<void> {
    auto const attempt = Effect.Attempt;
    auto exception = std::exception_ptr{};
    try {
      co_await exchangeAttempt(std::move(Effect), Target);
      co_return;
    } catch (...) {
      exception = std::current_exception();
    }
    logTaskFailure("server-exchange", exception);
    finish(attempt, Target, false,
           relay::AttemptInterrupted{attempt, "internal error"});
  }

  auto exchangeAttempt(relay::SendAttempt Effect, ActiveAttemptPointer Target)
      -> Awaitable<void> {
    auto connection = Target->Connection;
    auto request = HttpRequest{};
    request.Method = Effect.Content->Method;
    request.Target = Effect.Content->Target;
    request.Fields =
        platform::writeRequestFields(*Effect.Content, Effect.Parameters);
    request.Body = Effect.Content->Body;
    auto canReuse = true;
    // A server may respond and close before it has read the complete request.
    (void)co_await connection->send(request, ExchangeTimeout);
    auto status = co_await readHeader(Effect, *Target, canReuse);
    if (Target->IsCancelled)
      co_return;
    if (status == 0)
      co_return finish(
          Effect.Attempt, Target, false,
          relay::AttemptInterrupted{Effect.Attempt, "no response"});
    auto response = platform::readResponse(*connection, status);
    if (Effect.IsStream && status == StatusOk && !response.IsNotExecuted)
      co_return co_await readStream(Effect, Target, std::move(response),
                                    canReuse);
    co_await readBody(Effect, Target, std::move(response), canReuse);
  }

  auto readBody(relay::SendAttempt const &Effect, ActiveAttemptPointer Target,
                relay::ServerResponse Response, bool CanReuse)
      -> Awaitable<void> {
    auto connection = Target->Connection;
    auto const isForwarded = !Effect.Parameters.IsPrefill &&
                             !Response.IsNotExecuted && !Response.IsMisdirected;
    Response.Body = co_await readLimited(
        *connection, isForwarded ? MaximumBufferedBytes : MaximumControlBytes);
    if (Target->IsCancelled)
      co_return;
    if (isForwarded && !connection->isComplete() &&
        Response.Body.size() > MaximumBufferedBytes)
      co_return co_await forwardBody(Effect.Attempt, Target,
                                     std::move(Response), CanReuse);
    // A refusal is valid even if the rest of its response is lost.
    if (!connection->isComplete() && !Response.IsNotExecuted &&
        !Response.IsMisdirected)
      co_return finish(
          Effect.Attempt, Target, false,
          relay::AttemptInterrupted{Effect.Attempt, "response truncated"});
    CanReuse = CanReuse && connection->isComplete();
    if (Effect.Parameters.IsPrefill && Response.Status == StatusOk) {
      auto handle = platform::readPrefillHandle(Response.Body);
      if (!handle.empty())
        co_return finish(Effect.Attempt, Target, CanReuse,
                         relay::AttemptPrefilled{Effect.Attempt,
                                                 std::move(handle),
                                                 Response.Notice});
    }
    finish(Effect.Attempt, Target, CanReuse,
           relay::AttemptResponded{Effect.Attempt, std::move(Response)});
  }

  /// Passes a large body on as its caller reads it. \p Response holds its first
  /// part.
  auto forwardBody(AttemptId Attempt, ActiveAttemptPointer Target,
                   relay::ServerResponse Response, bool CanReuse)
      -> Awaitable<void> {
    auto connection = Target->Connection;
    auto received = Response.Body.size();
    Response.Length = connection->bodyLength();
    auto const limit =
        Response.Length.value_or(std::uint64_t{MaximumUnknownBytes});
    Loop.feed(relay::AttemptBodyStarted{Attempt, std::move(Response)});
    for (auto isOpen = true; isOpen && received <= limit;) {
      if (!Target->IsCancelled)
        co_await AwaitRoom(Attempt.Request);
      auto bytes = std::string{};
      while (isOpen && !Target->IsCancelled && bytes.size() < BodyPartBytes)
        isOpen = co_await connection->readSome(bytes, ExchangeTimeout);
      if (Target->IsCancelled)
        co_return;
      received += bytes.size();
      if (!bytes.empty())
        Loop.feed(relay::AttemptBodyReceived{Attempt, std::move(bytes)});
    }
    if (!connection->isComplete())
      co_return finish(
          Attempt, Target, false,
          relay::AttemptInterrupted{Attempt, "response truncated"});
    finish(Attempt, Target, CanReuse, relay::AttemptBodyEnded{Attempt});
  }

  auto readStream(relay::SendAttempt const &Effect, ActiveAttemptPointer Target,
                  relay::ServerResponse Header, bool CanReuse)
      -> Awaitable<void> {
    auto const attempt = Effect.Attempt;
    auto connection = Target->Connection;
    Loop.feed(relay::AttemptStreamStarted{attempt, std::move(Header)});
    auto framer = relay::EventFramer(Effect.Parameters.LastEventId.has_value());
    auto bytes = std::string{};
    while (co_await connection->readSome(bytes, ExchangeTimeout)) {
      if (Target->IsCancelled)
        co_return;
      auto events = framer.add(bytes);
      bytes.clear();
      if (!events.empty())
        Loop.feed(relay::AttemptEventsReceived{attempt, std::move(events)});
      if (framer.isBroken())
        co_return finish(attempt, Target, false,
                         relay::AttemptInterrupted{attempt, "not an event"});
      if (framer.isOverlong())
        co_return finish(attempt, Target, false,
                         relay::AttemptInterrupted{attempt, "event too long"});
    }
    if (Target->IsCancelled)
      co_return;
    if (!connection->isComplete())
      co_return finish(attempt, Target, false,
                       relay::AttemptInterrupted{attempt, "stream truncated"});
    finish(attempt, Target, CanReuse,
           relay::AttemptStreamEnded{attempt, framer.remainder()});
  }

  auto finish(AttemptId Attempt, ActiveAttemptPointer const &Target,
              bool CanReuse, relay::EventBody Event) -> void {
    if (Target->IsCancelled)
      return;
    Attempts.erase(Attempt);
    if (CanReuse)
      release(Attempt, *Target);
    else
      Target->Connection->close();
    Loop.feed(std::move(Event));
  }

  auto releasePrefill(relay::ReleasePrefill Effect) -> Awaitable<void> {
    auto result = co_await exchange(
        Effect.Address, platform::releaseHandleRequest(Effect.Handle),
        ReleasePrefillTimeout, MaximumControlBytes);
    if (!result.Response)
      log(LogLevel::Warning, "handle-not-released",
          {{"address", Effect.Address}, {"handle", Effect.Handle}});
  }

  auto sendOrder(relay::SendOrder Effect) -> Awaitable<void> {
    auto outcome = relay::OrderResultReceived{};
    outcome.Server = Effect.Server;
    auto report = co_await exchange(Effect.Address,
                                    platform::reportRequest(Effect.Server),
                                    OrderTimeout, MaximumControlBytes);
    auto state = report.Response && report.Response->Status == StatusOk
                     ? platform::readOrderState(report.Response->Body)
                     : std::nullopt;
    if (report.Response)
      outcome.Notice = platform::readNotice(report.Response->Fields,
                                            report.Response->Status);
    if (!state || state->IsBusy || outcome.Notice.IsLeaving)
      co_return Loop.feed(std::move(outcome));
    if (state->Stage == Effect.Stage) {
      outcome.Result = relay::OrderResult::Accepted;
      co_return Loop.feed(std::move(outcome));
    }
    auto connection = HttpConnection(Context.get_executor());
    auto isConnected =
        co_await connection.connect(Effect.Address, ConnectTimeout);
    // Check the validity directly before sending: the machine may have been
    // suspended, or the server slow.
    if (!isConnected || bootTime() >= Effect.ValidUntil)
      co_return Loop.feed(std::move(outcome));
    auto body = std::string{};
    auto request = platform::orderRequest(Effect, state->Accepted, body);
    outcome.Result = relay::OrderResult::Unknown;
    if (co_await connection.send(request, OrderTimeout))
      outcome.Status = co_await connection.readHeader(OrderTimeout);
    if (outcome.Status != 0)
      outcome.Notice =
          platform::readResponse(connection, outcome.Status).Notice;
    if (outcome.Status == StatusOk || outcome.Status == StatusAccepted)
      outcome.Result = relay::OrderResult::Accepted;
    else if (outcome.Status != 0)
      outcome.Result = relay::OrderResult::Refused;
    connection.close();
    Loop.feed(std::move(outcome));
  }

  asio::io_context &Context; // NOLINT: outlives the client
  RelayLoop &Loop;           // NOLINT
  RoomWaiter AwaitRoom;
  std::map<AttemptId, ActiveAttemptPointer> Attempts;
  std::unordered_map<std::string, Pool> Pools;
};

ServerClient::ServerClient(asio::io_context &Context, RelayLoop &Loop,
                           RoomWaiter AwaitRoom)
    : Impl(std::make_unique<Implementation>(Context, Loop,
                                            std::move(AwaitRoom))) {}

ServerClient::~ServerClient() = default;

auto ServerClient::run(relay::ConnectAttempt const &Effect) -> void {
  auto target = std::make_shared<Implementation::ActiveAttempt>();
  target->Address = Effect.Address;
  target->IdleLimit = Effect.IdleLimit;
  target->RequestHash = Effect.RequestHash;
  Impl->Attempts[Effect.Attempt] = target;
  spawnTask(Impl->Context, "server-connection",
            [self = Impl.get(), attempt = Effect.Attempt, target] {
              return self->connect(attempt, target);
            });
}

auto ServerClient::run(relay::SendAttempt &Effect) -> void {
  auto it = Impl->Attempts.find(Effect.Attempt);
  if (it == Impl->Attempts.end())
    return;
  spawnTask(Impl->Context, "server-exchange",
            [self = Impl.get(), effect = std::move(Effect),
             target = it->second] { return self->send(effect, target); });
}

auto ServerClient::run(relay::CancelAttempt const &Effect) -> void {
  auto it = Impl->Attempts.find(Effect.Attempt);
  if (it == Impl->Attempts.end())
    return;
  it->second->IsCancelled = true;
  if (it->second->Connection)
    it->second->Connection->close();
  Impl->Attempts.erase(it);
}

auto ServerClient::run(relay::ReleasePrefill const &Effect) -> void {
  spawnTask(Impl->Context, "handle-release", [self = Impl.get(), Effect] {
    return self->releasePrefill(Effect);
  });
}

auto ServerClient::run(relay::SendOrder const &Effect) -> void {
  spawnTask(Impl->Context, "server-order",
            [self = Impl.get(), Effect] { return self->sendOrder(Effect); });
}

auto ServerClient::run(relay::CloseIdleConnections const &Effect) -> void {
  Impl->Pools.erase(Effect.Address);
}

auto ServerClient::expireIdle() -> void {
  auto now = std::chrono::steady_clock::now();
  for (auto it = Impl->Pools.begin(); it != Impl->Pools.end();) {
    std::erase_if(it->second.Connections, [&](auto const &Candidate) {
      return now >= Candidate.ExpiresAt || !Candidate.Connection->isIdle();
    });
    it = it->second.Connections.empty() ? Impl->Pools.erase(it) : std::next(it);
  }
}

} // namespace dotterel
