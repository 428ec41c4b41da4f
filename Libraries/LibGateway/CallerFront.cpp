#include "LibGateway/CallerFront.h"

#include "LibCore/Log.h"
#include "platform/Headers.h"
#include "platform/Store.h"

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
/// Descriptors are scarce: connections beyond this are refused.
constexpr auto MaximumConnections = std::size_t{1500};
/// Steering and readiness callers keep a connection this long.
constexpr auto InternalIdle = Duration{10s};

using Output =
    std::variant<relay::ForwardResponse, relay::BeginStream,
                 relay::ForwardBytes, relay::EndStream, relay::AbortStream,
                 relay::SendErrorResponse, relay::SendSteeringResponse>;

/// What a handler still has to write to its caller.
struct Session {
  explicit Session(asio::io_context &Context) : Wake(Context) {
    Wake.expires_at(asio::steady_timer::time_point::max());
  }

  auto push(Output What) -> void {
    Waiting.push_back(std::move(What));
    Wake.cancel();
  }

  asio::steady_timer Wake;
  std::deque<Output> Waiting;
};

auto refusalReply(ResultCode Code, std::optional<Duration> RetryAfter)
    -> HttpResponse {
  auto const &entry = describe(Code);
  auto reply = HttpResponse{entry.HttpStatus, std::string(JsonType), {}, {}};
  reply.Body = fmt::format(R"({{"code":{},"name":"{}","message":"{}"}})",
                           static_cast<int>(Code), entry.Name, entry.Meaning);
  if (RetryAfter)
    reply.Fields.push_back(
        {"Retry-After", fmt::format("{:.2f}", toSeconds(*RetryAfter))});
  return reply;
}

} // namespace

struct CallerFront::Implementation {
  Implementation(asio::io_context &Context, GatewaySettings const &Given,
                 RelayLoop &Owner)
      : Context(Context), Owner(Owner),
        Callers(Context, Given.Self.CallerAddress, callerLimits({}),
                handler(&Implementation::serveCaller), refuse),
        Readiness(Context, Given.ReadinessAddress, internalLimits(),
                  handler(&Implementation::serveReadiness), refuse),
        Directory(Context, Given.DirectoryAddress, internalLimits(),
                  handler(&Implementation::serveSteering), refuse) {}

  static auto callerLimits(relay::CallerLimits const &Given) -> HttpLimits {
    auto limits = HttpLimits{};
    limits.BodyBytes = Given.BodyBytes;
    limits.HeaderBytes = Given.HeaderBytes;
    limits.Connections = MaximumConnections;
    limits.ReadTimeout = Given.HeaderTimeout;
    limits.IdleTimeout = Given.IdleTimeout;
    return limits;
  }

  static auto internalLimits() -> HttpLimits {
    auto limits = HttpLimits{};
    limits.IdleTimeout = InternalIdle;
    return limits;
  }

  static auto refuse(ResultCode Code) -> HttpResponse {
    return refusalReply(Code, std::nullopt);
  }

  auto handler(Awaitable<void> (Implementation::*Serve)(HttpExchange &))
      -> HttpHandler {
    return [this, Serve](HttpExchange &Exchange) {
      return (this->*Serve)(Exchange);
    };
  }

  auto serveReadiness(HttpExchange &Exchange) -> Awaitable<void> {
    auto isKnown = Exchange.path() == ReadyPath;
    auto status = Owner.state().isReady() ? StatusOk : StatusUnavailable;
    co_await Exchange.respond({isKnown ? status : StatusNotFound, "", {}, ""});
  }

  auto serveSteering(HttpExchange &Exchange) -> Awaitable<void> {
    if (Exchange.path() != SteeringPath)
      co_return co_await Exchange.respond({StatusNotFound, "", {}, ""});
    auto number = ++LastNumber;
    auto session = open(number);
    Owner.feed(relay::SteeringRequested{number});
    co_await writeAll(Exchange, *session);
    Sessions.erase(number);
  }

  auto open(RequestNumber Number) -> std::shared_ptr<Session> {
    auto session = std::make_shared<Session>(Context);
    Sessions[Number] = session;
    return session;
  }

  auto serveCaller(HttpExchange &Exchange) -> Awaitable<void> {
    auto number = ++LastNumber;
    auto session = open(number);
    Exchange.notifyOnDisconnect([this, number, session] {
      Owner.feed(relay::CallerDisconnected{number});
      session->push(relay::AbortStream{number});
    });
    Owner.feed(
        relay::RequestArrived{number, std::make_shared<relay::Request const>(
                                          platform::readRequest(Exchange))});
    auto problem = std::exception_ptr{};
    try {
      co_await writeAll(Exchange, *session);
    } catch (boost::system::system_error const &) {
      problem = std::current_exception();
    }
    Sessions.erase(number);
    if (!problem)
      co_return;
    // The caller is gone or does not read.
    Owner.feed(relay::CallerDisconnected{number});
    std::rethrow_exception(problem);
  }

  /// Writes what arrives for the caller until its answer is out.
  static auto writeAll(HttpExchange &Exchange, Session &Target)
      -> Awaitable<void> {
    while (true) {
      if (Target.Waiting.empty()) {
        auto ec = boost::system::error_code{};
        co_await Target.Wake.async_wait(useError(ec));
        continue;
      }
      auto what = std::move(Target.Waiting.front());
      Target.Waiting.pop_front();
      auto isLast = co_await std::visit(
          [&](auto &Kind) { return write(Exchange, Kind); }, what);
      if (isLast)
        co_return;
    }
  }

  static auto write(HttpExchange &Exchange, relay::ForwardResponse &What)
      -> Awaitable<bool> {
    co_await Exchange.respond({What.Response.Status, "",
                               std::move(What.Response.Fields),
                               std::move(What.Response.Body)});
    co_return true;
  }

  static auto write(HttpExchange &Exchange, relay::BeginStream &What)
      -> Awaitable<bool> {
    co_await Exchange.beginResponse(
        {What.Header.Status, "", std::move(What.Header.Fields), ""});
    co_return false;
  }

  static auto write(HttpExchange &Exchange, relay::ForwardBytes &What)
      -> Awaitable<bool> {
    co_await Exchange.writeChunk(What.Bytes);
    co_return false;
  }

  static auto write(HttpExchange &Exchange, relay::EndStream & /*What*/)
      -> Awaitable<bool> {
    co_await Exchange.endStream();
    co_return true;
  }

  static auto write(HttpExchange &Exchange, relay::AbortStream & /*What*/)
      -> Awaitable<bool> {
    Exchange.abort();
    co_return true;
  }

  static auto write(HttpExchange &Exchange, relay::SendErrorResponse &What)
      -> Awaitable<bool> {
    co_await Exchange.respond(refusalReply(What.Code, What.RetryAfter));
    co_return true;
  }

  static auto write(HttpExchange &Exchange, relay::SendSteeringResponse &What)
      -> Awaitable<bool> {
    if (What.Addresses.empty())
      co_await Exchange.respond(refuse(ResultCode::NotConfigured));
    else
      co_await Exchange.respond(
          {StatusOk,
           std::string(JsonType),
           {},
           platform::writeSteering(What.Addresses, What.Lifetime)});
    co_return true;
  }

  auto push(RequestNumber Number, Output What) -> void {
    auto it = Sessions.find(Number);
    if (it != Sessions.end())
      it->second->push(std::move(What));
  }

  asio::io_context &Context; // NOLINT: outlives the front
  RelayLoop &Owner;          // NOLINT
  HttpServer Callers;
  HttpServer Readiness;
  HttpServer Directory;
  RequestNumber LastNumber = 0;
  std::unordered_map<RequestNumber, std::shared_ptr<Session>> Sessions;
};

CallerFront::CallerFront(asio::io_context &Context,
                         GatewaySettings const &Given, RelayLoop &Owner)
    : Self(std::make_unique<Implementation>(Context, Given, Owner)) {}

CallerFront::~CallerFront() = default;

auto CallerFront::start() -> void {
  Self->Readiness.start();
  Self->Directory.start();
  Self->Callers.start();
}

auto CallerFront::run(relay::ForwardResponse &What) -> void {
  auto number = What.Number;
  Self->push(number, std::move(What));
}

auto CallerFront::run(relay::BeginStream &What) -> void {
  auto number = What.Number;
  Self->push(number, std::move(What));
}

auto CallerFront::run(relay::ForwardBytes &What) -> void {
  auto number = What.Number;
  Self->push(number, std::move(What));
}

auto CallerFront::run(relay::EndStream &What) -> void {
  Self->push(What.Number, What);
}

auto CallerFront::run(relay::AbortStream &What) -> void {
  Self->push(What.Number, What);
}

auto CallerFront::run(relay::SendErrorResponse &What) -> void {
  Self->push(What.Number, What);
}

auto CallerFront::run(relay::SendSteeringResponse &What) -> void {
  auto number = What.Number;
  Self->push(number, std::move(What));
}

auto CallerFront::applyLimits(relay::CallerLimits const &Limits) -> void {
  Self->Callers.setLimits(Implementation::callerLimits(Limits));
}

auto CallerFront::closeAfterResponses() -> void {
  Self->Callers.closeAfterResponses();
}

auto CallerFront::isIdle() const -> bool { return Self->Sessions.empty(); }

} // namespace dotterel
