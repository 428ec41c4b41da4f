#include "LibGateway/PeerSocket.h"

#include "LibCore/Log.h"
#include "LibNet/Endpoint.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>

namespace dotterel {

namespace {

using asio::ip::udp;

constexpr auto LargestDatagram = std::size_t{16384};

auto toUdp(std::string_view Address) -> udp::endpoint {
  auto endpoint = parseEndpoint(Address);
  return {endpoint.address(), endpoint.port()};
}

} // namespace

struct PeerSocket::Implementation {
  Implementation(asio::io_context &Context, std::string_view Address,
                 RelayLoop &Owner)
      : Socket(Context), Local(toUdp(Address)), Owner(Owner) {}

  auto receive() -> Awaitable<void> {
    auto buf = std::array<char, LargestDatagram>{};
    while (Socket.is_open()) {
      auto ec = boost::system::error_code{};
      auto sender = udp::endpoint{};
      auto n = co_await Socket.async_receive_from(asio::buffer(buf), sender,
                                                  useError(ec));
      // An earlier datagram to a port that is closed is reported here.
      if (ec)
        continue;
      auto message = relay::decodePeerReport({buf.data(), n});
      if (message) {
        message->PeerAddress =
            fmt::format("{}:{}", sender.address().to_string(), sender.port());
        Owner.feed(relay::PeerReported{std::move(*message)});
      } else {
        log(LogLevel::Warning, "peer-report-unreadable",
            {{"from", sender.address().to_string()}, {"bytes", n}});
      }
    }
  }

  udp::socket Socket;
  udp::endpoint Local;
  RelayLoop &Owner; // NOLINT
};

PeerSocket::PeerSocket(asio::io_context &Context, std::string_view Address,
                       RelayLoop &Owner)
    : Self(std::make_unique<Implementation>(Context, Address, Owner)) {}

PeerSocket::~PeerSocket() = default;

auto PeerSocket::start() -> void {
  Self->Socket.open(udp::v4());
  Self->Socket.bind(Self->Local);
  Self->Socket.non_blocking(true);
  spawnTask(Self->Socket.get_executor(),
            [self = Self.get()] { return self->receive(); });
}

auto PeerSocket::run(relay::SendPeerReport const &What) -> void {
  auto bytes = relay::encodePeerReport(What.Report);
  for (auto const &it : What.Addresses) {
    auto ec = boost::system::error_code{};
    // A report that cannot be sent now is replaced by the next one.
    Self->Socket.send_to(asio::buffer(bytes), toUdp(it), 0, ec);
  }
}

} // namespace dotterel
