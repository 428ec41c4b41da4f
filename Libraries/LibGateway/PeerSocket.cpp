#include "LibGateway/PeerSocket.h"

#include "LibCore/Address.h"
#include "LibCore/BootClock.h"
#include "LibCore/Log.h"
#include "LibNet/Endpoint.h"
#include "LibNet/Task.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>

namespace dotterel {

namespace {

using asio::ip::udp;

constexpr auto MaximumDatagramBytes = std::size_t{16384};

auto toUdp(asio::ip::tcp::endpoint const &Endpoint) -> udp::endpoint {
  return {Endpoint.address(), Endpoint.port()};
}

} // namespace

struct PeerSocket::Implementation {
  Implementation(asio::io_context &Context, std::string_view Address,
                 RelayLoop &Loop)
      : Socket(Context), Local(toUdp(parseEndpoint(Address))), Loop(Loop) {}

  auto receive() -> Awaitable<void> {
    auto buf = std::array<char, MaximumDatagramBytes>{};
    while (Socket.is_open()) {
      auto ec = boost::system::error_code{};
      auto sender = udp::endpoint{};
      auto n = co_await Socket.async_receive_from(asio::buffer(buf), sender,
                                                  useError(ec));
      // The ICMP error for an earlier datagram to a closed port surfaces here.
      if (ec)
        continue;
      auto address =
          fmt::format("{}:{}", sender.address().to_string(), sender.port());
      if (!accept({buf.data(), n}, std::move(address)))
        log(LogLevel::Warning, "peer-report-unreadable",
            {{"from", sender.address().to_string()}, {"bytes", n}});
    }
  }

  /// Feeds a datagram from \p Address to the reducer. Returns false if it
  /// cannot be read.
  auto accept(std::string_view Bytes, std::string Address) -> bool {
    if (auto report = relay::decodePeerReport(Bytes)) {
      // Partial reports contain no address.
      if (report->IsFull && !isAddress(report->CallerAddress))
        return false;
      for (auto const &it : relay::rejectUnusableUpdates(*report))
        log(LogLevel::Warning, "server-update-unreadable",
            {{"server", it.Server}, {"error", it.Reason}});
      report->PeerAddress = std::move(Address);
      Loop.feed(relay::PeerReported{std::move(*report)});
      return true;
    }
    if (auto usage = decodeUsage(Bytes)) {
      Loop.feed(relay::UsageReceived{std::move(Address), std::move(*usage)});
      return true;
    }
    if (auto confirmation = relay::decodeConfirmation(Bytes)) {
      accept(*confirmation, std::move(Address));
      return true;
    }
    auto message = relay::decodePermitMessage(Bytes);
    if (!message)
      return false;
    if (auto const *request = std::get_if<relay::PermitRequest>(&*message))
      Loop.feed(relay::PermitRequested{std::move(Address), *request});
    else
      Loop.feed(
          relay::PermitAnswered{std::get<relay::PermitResponse>(*message)});
    return true;
  }

  auto accept(relay::ConfirmationMessage const &Message, std::string Address)
      -> void {
    if (auto const *it = std::get_if<relay::ConfirmationRequest>(&Message))
      Loop.feed(
          relay::ConfirmationRequested{std::move(Address), *it, bootTime()});
    else
      Loop.feed(relay::ConfirmationAnswered{
          std::get<relay::ConfirmationResponse>(Message)});
  }

  auto send(std::string_view Bytes, std::string_view Address) -> void {
    auto const endpoint = findEndpoint(Address);
    if (!endpoint)
      return log(LogLevel::Warning, "address-invalid", {{"address", Address}});
    auto ec = boost::system::error_code{};
    // A datagram that cannot be sent now is like one that is lost: a later
    // report supersedes it, and a permit is asked for again.
    Socket.send_to(asio::buffer(Bytes), toUdp(*endpoint), 0, ec);
  }

  udp::socket Socket;
  udp::endpoint Local;
  RelayLoop &Loop; // NOLINT
};

PeerSocket::PeerSocket(asio::io_context &Context, std::string_view Address,
                       RelayLoop &Loop)
    : Impl(std::make_unique<Implementation>(Context, Address, Loop)) {}

PeerSocket::~PeerSocket() = default;

auto PeerSocket::start() -> void {
  Impl->Socket.open(udp::v4());
  Impl->Socket.bind(Impl->Local);
  Impl->Socket.non_blocking(true);
  spawnService(Impl->Socket.get_executor(), "datagram-receiver",
               [self = Impl.get()] { return self->receive(); });
}

auto PeerSocket::run(relay::SendPeerReport const &Effect) -> void {
  auto bytes = relay::encodePeerReport(Effect.Report);
  for (auto const &it : Effect.Addresses)
    Impl->send(bytes, it);
}

auto PeerSocket::run(relay::SendPermitRequest const &Effect) -> void {
  Impl->send(relay::encodePermitMessage(Effect.Request), Effect.Address);
}

auto PeerSocket::run(relay::SendPermitResponse const &Effect) -> void {
  Impl->send(relay::encodePermitMessage(Effect.Response), Effect.Address);
}

auto PeerSocket::run(relay::SendConfirmationRequest const &Effect) -> void {
  Impl->send(relay::encodeConfirmation(Effect.Request), Effect.Address);
}

auto PeerSocket::run(relay::SendConfirmationResponse const &Effect) -> void {
  Impl->send(relay::encodeConfirmation(Effect.Response), Effect.Address);
}

auto PeerSocket::run(relay::SendUsage const &Effect) -> void {
  for (auto const &message : Effect.Messages) {
    for (auto const &bytes : encodeUsage(message)) {
      for (auto const &address : Effect.Addresses)
        Impl->send(bytes, address);
    }
  }
}

} // namespace dotterel
