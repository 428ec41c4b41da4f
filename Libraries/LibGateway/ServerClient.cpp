#include "LibGateway/ServerClient.h"

#include "LibCore/BootClock.h"
#include "LibCore/Log.h"
#include "platform/Headers.h"

#include <algorithm>
#include <charconv>

namespace dotterel {

namespace {

using relay::AttemptId;

/// A server accepts within a few milliseconds; one that does not is down.
constexpr auto ConnectTimeout = Duration{400ms};
/// Bound on every wait at a server; the reducer ends attempts long before.
constexpr auto ExchangeTimeout = Duration{60s};
constexpr auto FreeHandleTimeout = Duration{1s};
/// Answers to requests that are not streams are passed on whole up to here.
constexpr auto MaximumWholeBytes = std::size_t{16} << 20U;
/// Idle connections are closed this long before the server would, and after
/// the default where the server does not say.
constexpr auto IdleMargin = Duration{700ms};
constexpr auto DefaultIdle = Duration{4s};
constexpr auto StatusOk = 200U;
constexpr auto OrderAccepted = 202U;
/// Servers answer orders and reports within milliseconds.
constexpr auto OrderTimeout = Duration{500ms};

/// Reads "timeout=SECONDS" of a Keep-Alive header.
auto keepAliveOf(HttpConnection const &From) -> Duration {
  auto value = From.field("Keep-Alive");
  constexpr auto Key = std::string_view{"timeout="};
  auto at = value.find(Key);
  if (at == std::string::npos)
    return DefaultIdle;
  auto n = 0;
  auto rest = std::string_view(value).substr(at + Key.size());
  auto parsed = std::from_chars(rest.data(), rest.data() + rest.size(), n);
  if (parsed.ec != std::errc{})
    return DefaultIdle;
  return std::max(Duration{}, Duration{1s} * n - IdleMargin);
}

} // namespace

struct ServerClient::Implementation {
  Implementation(asio::io_context &Context, RelayLoop &Owner)
      : Context(Context), Owner(Owner) {}

  using ConnectionPointer = std::shared_ptr<HttpConnection>;

  struct Idle {
    ConnectionPointer Connection;
    Instant Until;
  };

  /// Idle connections to one address, the latest used last.
  struct Pool {
    std::vector<Idle> Connections;
  };

  /// One attempt's connection.
  struct Running {
    ConnectionPointer Connection;
    std::string Address;
    std::uint32_t IdleLimit = 1;
    bool IsCancelled = false;
  };
  using RunningPointer = std::shared_ptr<Running>;

  auto takeIdle(std::string const &Address) -> ConnectionPointer {
    auto it = Pools.find(Address);
    if (it == Pools.end())
      return nullptr;
    auto &kept = it->second.Connections;
    while (!kept.empty()) {
      auto idle = std::move(kept.back());
      kept.pop_back();
      if (std::chrono::steady_clock::now() < idle.Until &&
          idle.Connection->isIdle())
        return idle.Connection;
      idle.Connection->close();
    }
    return nullptr;
  }

  auto release(Running const &Target) -> void {
    auto &connection = *Target.Connection;
    auto &kept = Pools[Target.Address].Connections;
    if (Target.IsCancelled || !connection.isReusable() ||
        kept.size() >= Target.IdleLimit)
      return connection.close();
    kept.push_back({Target.Connection, std::chrono::steady_clock::now() +
                                           keepAliveOf(connection)});
  }

  auto connect(AttemptId Attempt, RunningPointer Target) -> Awaitable<void> {
    if (auto idle = takeIdle(Target->Address)) {
      Target->Connection = std::move(idle);
      Owner.feed(relay::AttemptConnected{Attempt});
      co_return;
    }
    Target->Connection =
        std::make_shared<HttpConnection>(Context.get_executor());
    auto connection = Target->Connection;
    auto isDone = co_await connection->connect(Target->Address, ConnectTimeout);
    if (Target->IsCancelled)
      co_return;
    if (isDone) {
      Owner.feed(relay::AttemptConnected{Attempt});
      co_return;
    }
    Attempts.erase(Attempt);
    Owner.feed(relay::AttemptUnreachable{Attempt, "no connection"});
  }

  /// Reads the header of the answer to \p What, past answers that belong to
  /// earlier requests. Returns its status, or 0.
  static auto readHeader(relay::SendAttempt const &What,
                         HttpConnection &Connection, bool &IsClean)
      -> Awaitable<unsigned> {
    while (true) {
      auto status = co_await Connection.readHeader(ExchangeTimeout);
      if (status == 0 || platform::answersTo(Connection, What.Content->Id))
        co_return status;
      log(LogLevel::Warning, "answer-of-another-request",
          {{"id", What.Content->Id}, {"status", status}});
      IsClean = false;
      auto ignored = std::string{};
      while (co_await Connection.readSome(ignored, ExchangeTimeout))
        ignored.clear();
      if (!Connection.isComplete())
        co_return 0;
      Connection.expectNext();
    }
  }

  auto send(relay::SendAttempt What, RunningPointer Target) -> Awaitable<void> {
    auto connection = Target->Connection;
    auto request = HttpRequest{};
    request.Method = What.Content->Method;
    request.Target = What.Content->Target;
    request.Fields =
        platform::writeRequestFields(*What.Content, What.Parameters);
    request.Body = What.Content->Body;
    auto isClean = true;
    // A server may answer and close before it has read everything.
    (void)co_await connection->send(request, ExchangeTimeout);
    auto status = co_await readHeader(What, *connection, isClean);
    if (Target->IsCancelled)
      co_return;
    if (status == 0)
      co_return finish(What.Attempt, Target, false,
                       relay::AttemptInterrupted{What.Attempt, "no answer"});
    auto answer = platform::readAnswer(*connection, status);
    if (What.IsStream && status == StatusOk && !answer.IsNotExecuted)
      co_return co_await readStream(What.Attempt, Target, std::move(answer),
                                    isClean);
    co_await readWhole(What, Target, std::move(answer), isClean);
  }

  auto readWhole(relay::SendAttempt const &What, RunningPointer Target,
                 relay::ServerResponse Answer, bool IsClean)
      -> Awaitable<void> {
    auto connection = Target->Connection;
    while (co_await connection->readSome(Answer.Body, ExchangeTimeout)) {
      if (Answer.Body.size() > MaximumWholeBytes)
        break;
    }
    if (Target->IsCancelled)
      co_return;
    // A refusal holds whatever becomes of the rest of its answer.
    if (!connection->isComplete() && !Answer.IsNotExecuted &&
        !Answer.IsMisdirected)
      co_return finish(
          What.Attempt, Target, false,
          relay::AttemptInterrupted{What.Attempt, "answer cut off"});
    IsClean = IsClean && connection->isComplete();
    if (What.Parameters.IsPrefill && Answer.Status == StatusOk) {
      auto handle = platform::readPrefillHandle(Answer.Body);
      if (!handle.empty())
        co_return finish(
            What.Attempt, Target, IsClean,
            relay::AttemptPrefilled{What.Attempt, std::move(handle)});
    }
    finish(What.Attempt, Target, IsClean,
           relay::AttemptResponded{What.Attempt, std::move(Answer)});
  }

  auto readStream(AttemptId Attempt, RunningPointer Target,
                  relay::ServerResponse Header, bool IsClean)
      -> Awaitable<void> {
    auto connection = Target->Connection;
    Owner.feed(relay::AttemptStreamStarted{Attempt, std::move(Header)});
    auto framer = relay::EventFramer{};
    auto bytes = std::string{};
    while (co_await connection->readSome(bytes, ExchangeTimeout)) {
      if (Target->IsCancelled)
        co_return;
      auto events = framer.add(bytes);
      bytes.clear();
      if (!events.empty())
        Owner.feed(relay::AttemptEventsReceived{Attempt, std::move(events)});
    }
    if (Target->IsCancelled)
      co_return;
    if (!connection->isComplete())
      co_return finish(Attempt, Target, false,
                       relay::AttemptInterrupted{Attempt, "stream cut off"});
    finish(Attempt, Target, IsClean,
           relay::AttemptStreamEnded{Attempt, framer.remainder()});
  }

  auto finish(AttemptId Attempt, RunningPointer const &Target, bool IsClean,
              relay::EventBody Happened) -> void {
    if (Target->IsCancelled)
      return;
    Attempts.erase(Attempt);
    if (IsClean)
      release(*Target);
    else
      Target->Connection->close();
    Owner.feed(std::move(Happened));
  }

  auto freeHandle(relay::ReleasePrefill What) -> Awaitable<void> {
    auto result = co_await exchange(What.Address,
                                    platform::freeHandleRequest(What.Handle),
                                    FreeHandleTimeout);
    if (!result.Response)
      log(LogLevel::Warning, "handle-not-freed",
          {{"address", What.Address}, {"handle", What.Handle}});
  }

  auto sendOrder(relay::SendOrder What) -> Awaitable<void> {
    auto answered = relay::OrderResultReceived{What.Server};
    auto report = co_await exchange(
        What.Address, platform::reportRequest(What.Server), OrderTimeout);
    auto state = report.Response && report.Response->Status == StatusOk
                     ? platform::readOrderState(report.Response->Body)
                     : std::nullopt;
    if (!state || state->IsBusy)
      co_return Owner.feed(std::move(answered));
    if (state->Stage == What.Stage) {
      answered.Result = relay::OrderResult::Accepted;
      co_return Owner.feed(std::move(answered));
    }
    auto connection = HttpConnection(Context.get_executor());
    auto isConnected =
        co_await connection.connect(What.Address, ConnectTimeout);
    // The last check before the order leaves; the machine may have been
    // suspended, or the server slow.
    if (!isConnected || bootTime() >= What.ValidUntil)
      co_return Owner.feed(std::move(answered));
    auto body = std::string{};
    auto request = platform::orderRequest(What, state->Accepted, body);
    answered.Result = relay::OrderResult::Unknown;
    if (co_await connection.send(request, OrderTimeout))
      answered.Status = co_await connection.readHeader(OrderTimeout);
    if (answered.Status == StatusOk || answered.Status == OrderAccepted)
      answered.Result = relay::OrderResult::Accepted;
    else if (answered.Status != 0)
      answered.Result = relay::OrderResult::Refused;
    connection.close();
    Owner.feed(std::move(answered));
  }

  asio::io_context &Context; // NOLINT: outlives the client
  RelayLoop &Owner;          // NOLINT
  std::map<AttemptId, RunningPointer> Attempts;
  std::unordered_map<std::string, Pool> Pools;
};

ServerClient::ServerClient(asio::io_context &Context, RelayLoop &Owner)
    : Self(std::make_unique<Implementation>(Context, Owner)) {}

ServerClient::~ServerClient() = default;

auto ServerClient::run(relay::ConnectAttempt const &What) -> void {
  auto target = std::make_shared<Implementation::Running>();
  target->Address = What.Address;
  target->IdleLimit = What.IdleLimit;
  Self->Attempts[What.Attempt] = target;
  spawnTask(Self->Context, [self = Self.get(), attempt = What.Attempt, target] {
    return self->connect(attempt, target);
  });
}

auto ServerClient::run(relay::SendAttempt &What) -> void {
  auto it = Self->Attempts.find(What.Attempt);
  if (it == Self->Attempts.end())
    return;
  spawnTask(Self->Context,
            [self = Self.get(), what = std::move(What), target = it->second] {
              return self->send(what, target);
            });
}

auto ServerClient::run(relay::CancelAttempt const &What) -> void {
  auto it = Self->Attempts.find(What.Attempt);
  if (it == Self->Attempts.end())
    return;
  it->second->IsCancelled = true;
  if (it->second->Connection)
    it->second->Connection->close();
  Self->Attempts.erase(it);
}

auto ServerClient::run(relay::ReleasePrefill const &What) -> void {
  spawnTask(Self->Context,
            [self = Self.get(), What] { return self->freeHandle(What); });
}

auto ServerClient::run(relay::SendOrder const &What) -> void {
  spawnTask(Self->Context,
            [self = Self.get(), What] { return self->sendOrder(What); });
}

auto ServerClient::run(relay::CloseIdleConnections const &What) -> void {
  Self->Pools.erase(What.Address);
}

auto ServerClient::expireIdle() -> void {
  auto now = std::chrono::steady_clock::now();
  for (auto it = Self->Pools.begin(); it != Self->Pools.end();) {
    std::erase_if(it->second.Connections, [&](auto const &Kept) {
      return now >= Kept.Until || !Kept.Connection->isIdle();
    });
    it = it->second.Connections.empty() ? Self->Pools.erase(it) : std::next(it);
  }
}

} // namespace dotterel
