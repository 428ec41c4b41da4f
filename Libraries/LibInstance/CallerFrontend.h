/// \file
/// HTTP server for callers and operators.
#pragma once

#include "LibConfiguration/Settings.h"
#include "LibInstance/ControlLoop.h"
#include "LibInstance/Metrics.h"
#include "LibNet/HttpServer.h"

#include <map>

namespace dotterel {

/// Converts requests into events, and effects into responses.
/// Thread safety: none; used on one executor.
class CallerFrontend {
public:
  CallerFrontend(asio::io_context &Context, Settings const &Config,
                 ControlLoop &Loop, Metrics &InstanceMetrics);
  ~CallerFrontend();
  CallerFrontend(CallerFrontend const &) = delete;
  auto operator=(CallerFrontend const &) -> CallerFrontend & = delete;

  /// Starts accepting connections. Errors: boost::system::system_error.
  auto start() -> void;

  /// Returns whether no exchange is in progress.
  [[nodiscard]] auto isIdle() const -> bool;

  /// Returns an unused call number, for a call that a peer forwarded.
  [[nodiscard]] auto allocateCall() -> CallId;

  auto run(ForwardToken &Effect) -> void;
  auto run(FinishCall &Effect) -> void;
  auto run(SendSteeringResponse &Effect) -> void;

private:
  struct PendingCall;
  using PendingPointer = std::shared_ptr<PendingCall>;

  auto handle(HttpExchange &Exchange) -> Awaitable<void>;
  auto handleCompletion(HttpExchange &Exchange, bool IsChat) -> Awaitable<void>;
  auto handleService(HttpExchange &Exchange) -> Awaitable<void>;
  auto handleSteering(HttpExchange &Exchange) -> Awaitable<void>;
  auto handleHealth(HttpExchange &Exchange) -> Awaitable<void>;
  auto handleAdmin(HttpExchange &Exchange) -> Awaitable<void>;
  auto startCall(HttpExchange &Exchange, CallRequest Request) -> PendingPointer;
  auto respondStreaming(HttpExchange &Exchange, PendingPointer Call)
      -> Awaitable<void>;
  auto respondComplete(HttpExchange &Exchange, PendingPointer Call, bool IsChat)
      -> Awaitable<void>;
  auto respondFinal(HttpExchange &Exchange, PendingCall const &Call)
      -> Awaitable<void>;
  auto respondWithError(HttpExchange &Exchange, ResultCode Code,
                        std::string Detail) -> Awaitable<void>;
  [[nodiscard]] auto requestId(CallId Call) const -> std::string;
  [[nodiscard]] auto find(CallId Call) -> PendingPointer;

  asio::io_context &Context; // NOLINT: outlives the frontend
  ControlLoop &Loop;         // NOLINT
  Metrics &InstanceMetrics;  // NOLINT
  HttpServer Server;
  CallId NextCall = 1;
  std::size_t ActiveExchanges = 0;
  std::map<CallId, PendingPointer> Calls;
};

} // namespace dotterel
