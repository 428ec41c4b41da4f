#include "LibGateway/PeerSocket.h"

#include "LibCore/Log.h"
#include "LibNet/Endpoint.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>

namespace dotterel {

namespace {

using asio::ip::udp;

constexpr auto MaximumDatagramBytes = std::size_t{16384};

auto toUdp(std::string_view Address) -> udp::endpoint {
  auto endpoint = parseEndpoint(Address);
  return {endpoint.address(), endpoint.port()};
}

} // namespace

struct PeerSocket::Implementation {
  Implementation(asio::io_context &Context, std::string_view Address,
                 RelayLoop &Loop)
      : Socket(Context), Local(toUdp(Address)), Loop(Loop) {}

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
      auto message = relay::decodePeerReport({buf.data(), n});
      if (message) {
        message->PeerAddress =
            fmt::format("{}:{}", sender.address().to_string(), sender.port());
        Loop.feed(relay::PeerReported{std::move(*message)});
      } else {
        log(LogLevel::Warning, "peer-report-unreadable",
            {{"from", sender.address().to_string()}, {"bytes", n}});
      }
    }
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
  spawnTask(Impl->Socket.get_executor(),
            [self = Impl.get()] { return self->receive(); });
}

auto PeerSocket::run(relay::SendPeerReport const &Effect) -> void {
  auto bytes = relay::encodePeerReport(Effect.Report);
  for (auto const &it : Effect.Addresses) {
    auto ec = boost::system::error_code{};
    // A report that cannot be sent now is superseded by the next one.
    Impl->Socket.send_to(asio::buffer(bytes), toUdp(it), 0, ec);
  }
}

} // namespace dotterel
