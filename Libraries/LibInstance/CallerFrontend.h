/// \file
/// The HTTP front for callers and operators.
#pragma once

#include "LibConfiguration/Settings.h"
#include "LibInstance/Core.h"
#include "LibInstance/Metrics.h"
#include "LibNet/HttpServer.h"

#include <map>

namespace dotterel {

/// Turns requests into events, and effects into answers.
/// Thread safety: none; used on one executor.
class CallerFrontend {
public:
  CallerFrontend(asio::io_context &Context, Settings const &Given, Core &Owner,
                 Metrics &Measured);
  ~CallerFrontend();
  CallerFrontend(CallerFrontend const &) = delete;
  auto operator=(CallerFrontend const &) -> CallerFrontend & = delete;

  /// Starts to accept callers. Errors: boost::system::system_error.
  auto start() -> void;

  /// Returns whether every answer is out.
  [[nodiscard]] auto isIdle() const -> bool;

  /// Returns a call number for a call that a peer forwarded.
  [[nodiscard]] auto allocateCall() -> CallId;

  auto run(ForwardToken &What) -> void;
  auto run(FinishCall &What) -> void;
  auto run(RespondToSteering &What) -> void;

private:
  struct PendingCall;
  using PendingPointer = std::shared_ptr<PendingCall>;

  auto handle(HttpExchange &Target) -> Awaitable<void>;
  auto handleCompletion(HttpExchange &Target, bool IsChat) -> Awaitable<void>;
  auto handleService(HttpExchange &Target) -> Awaitable<void>;
  auto handleSteering(HttpExchange &Target) -> Awaitable<void>;
  auto handleHealth(HttpExchange &Target) -> Awaitable<void>;
  auto handleAdmin(HttpExchange &Target) -> Awaitable<void>;
  auto begin(HttpExchange &Target, CallRequest Request) -> PendingPointer;
  auto answerStream(HttpExchange &Target, PendingPointer Call)
      -> Awaitable<void>;
  auto answerWhole(HttpExchange &Target, PendingPointer Call, bool IsChat)
      -> Awaitable<void>;
  auto respondFinal(HttpExchange &Target, PendingCall const &Call)
      -> Awaitable<void>;
  auto refuse(HttpExchange &Target, ResultCode Code, std::string Detail)
      -> Awaitable<void>;
  [[nodiscard]] auto requestId(CallId Call) const -> std::string;
  [[nodiscard]] auto find(CallId Call) -> PendingPointer;

  asio::io_context &Context; // NOLINT: outlives the front
  Core &Owner;               // NOLINT
  Metrics &Measured;         // NOLINT
  HttpServer Server;
  CallId NextCall = 1;
  std::size_t ActiveExchanges = 0;
  std::map<CallId, PendingPointer> Calls;
};

} // namespace dotterel
