#include "LibInstance/PeerMesh.h"

#include "LibCore/Hash.h"
#include "LibNet/Endpoint.h"
#include "LibPeer/Codec.h"

#include <map>
#include <set>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace dotterel {

namespace {

using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using HandleOrder = std::owner_less<Handle>;

constexpr auto MaximumMessageBytes = std::size_t{8} << 20U;
constexpr auto HandshakeTimeoutMs = 2000L;
/// A peer with more unsent bytes is disconnected, so that a slow peer cannot
/// exhaust the memory of this instance.
constexpr auto MaximumUnsentBytes = std::size_t{16} << 20U;

/// State of one connection. Expected is set for outgoing connections; Peer is
/// empty until the peer's hello has been accepted.
struct Link {
  bool IsOutgoing = false;
  InstanceId Expected;
  InstanceId Peer;
};

} // namespace

struct PeerMesh::Implementation {
  Implementation(asio::io_context &Context, InstanceId LocalInstance,
                 Incarnation Run, std::string Key, PeerCallbacks Callbacks)
      : LocalInstance(std::move(LocalInstance)), Run(Run), Key(std::move(Key)),
        Callbacks(std::move(Callbacks)) {
    Incoming.init_asio(&Context);
    Outgoing.init_asio(&Context);
    configure(Incoming);
    configure(Outgoing);
    Incoming.set_open_handler([this](Handle const &Opened) {
      Links[Opened] = Link{};
      sendHello(Opened);
    });
    Outgoing.set_open_handler(
        [this](Handle const &Opened) { sendHello(Opened); });
    Outgoing.set_fail_handler(
        [this](Handle const &Failed) { removeLink(Failed); });
  }

  template <typename EndpointType>
  auto configure(EndpointType &Endpoint) -> void {
    Endpoint.clear_access_channels(websocketpp::log::alevel::all);
    Endpoint.clear_error_channels(websocketpp::log::elevel::all);
    Endpoint.set_max_message_size(MaximumMessageBytes);
    Endpoint.set_open_handshake_timeout(HandshakeTimeoutMs);
    Endpoint.set_close_handshake_timeout(HandshakeTimeoutMs);
    Endpoint.set_message_handler([this](Handle const &Source,
                                        auto const &Message) {
      auto const &text = Message->get_payload();
      auto const *bytes = reinterpret_cast<std::uint8_t const *>(text.data());
      receive(Source, {bytes, text.size()});
    });
    Endpoint.set_close_handler(
        [this](Handle const &Closed) { removeLink(Closed); });
  }

  auto sendHello(Handle const &Destination) -> void {
    sendTo(Destination,
           PeerHello{PeerProtocolVersion, LocalInstance, Run, Key});
  }

  auto receive(Handle const &Source, std::span<std::uint8_t const> Bytes)
      -> void {
    auto message = decodePeerMessage(Bytes);
    auto it = Links.find(Source);
    if (it == Links.end())
      return;
    if (!message)
      return close(Source);
    if (it->second.Peer.empty())
      return handleHello(Source, it->second, *message);
    Callbacks.Received(it->second.Peer, std::move(*message));
  }

  auto handleHello(Handle const &Source, Link &SourceLink,
                   PeerMessage const &Message) -> void {
    auto const *hello = std::get_if<PeerHello>(&Message);
    auto isTrusted = hello != nullptr &&
                     hello->Version == PeerProtocolVersion &&
                     equalsInConstantTime(hello->Key, Key);
    if (!isTrusted) {
      Callbacks.Refused();
      return close(Source);
    }
    if (SourceLink.IsOutgoing && hello->Instance != SourceLink.Expected)
      return close(Source);
    auto existing = Peers.find(hello->Instance);
    if (existing != Peers.end()) {
      auto previous = existing->second;
      Peers.erase(existing);
      Links.erase(previous);
      close(previous);
      Callbacks.Disconnected(hello->Instance);
    }
    SourceLink.Peer = hello->Instance;
    Peers[hello->Instance] = Source;
    Callbacks.Connected(hello->Instance, hello->Run);
  }

  auto removeLink(Handle const &Closed) -> void {
    auto it = Links.find(Closed);
    if (it == Links.end())
      return;
    auto link = it->second;
    Links.erase(it);
    if (!link.Peer.empty()) {
      Peers.erase(link.Peer);
      Callbacks.Disconnected(link.Peer);
    } else if (link.IsOutgoing) {
      Callbacks.Disconnected(link.Expected);
    }
  }

  auto close(Handle const &Connection) -> void {
    auto ec = websocketpp::lib::error_code{};
    if (isOutgoing(Connection))
      Outgoing.close(Connection, websocketpp::close::status::normal, "", ec);
    else
      Incoming.close(Connection, websocketpp::close::status::normal, "", ec);
  }

  [[nodiscard]] auto isOutgoing(Handle const &Connection) const -> bool {
    return OutgoingHandles.contains(Connection);
  }

  auto sendTo(Handle const &Destination, PeerMessage const &Message) -> void {
    auto bytes = encodePeerMessage(Message);
    if (isOutgoing(Destination))
      sendOver(Outgoing, Destination, bytes);
    else
      sendOver(Incoming, Destination, bytes);
  }

  template <typename EndpointType>
  auto sendOver(EndpointType &Endpoint, Handle const &Destination,
                std::span<std::uint8_t const> Bytes) -> void {
    auto ec = websocketpp::lib::error_code{};
    auto connection = Endpoint.get_con_from_hdl(Destination, ec);
    if (ec)
      return;
    if (connection->get_buffered_amount() > MaximumUnsentBytes)
      return close(Destination);
    connection->send(Bytes.data(), Bytes.size(),
                     websocketpp::frame::opcode::binary);
  }

  Server Incoming;
  Client Outgoing;
  InstanceId LocalInstance;
  Incarnation Run;
  std::string Key;
  PeerCallbacks Callbacks;
  std::map<Handle, Link, HandleOrder> Links;
  std::set<Handle, HandleOrder> OutgoingHandles;
  std::map<InstanceId, Handle> Peers;
};

PeerMesh::PeerMesh(asio::io_context &Context, InstanceId LocalInstance,
                   Incarnation Run, std::string Key, PeerCallbacks Callbacks)
    : Impl(std::make_unique<Implementation>(Context, std::move(LocalInstance),
                                            Run, std::move(Key),
                                            std::move(Callbacks))) {}

PeerMesh::~PeerMesh() = default;

auto PeerMesh::listen(std::string const &Address) -> void {
  Impl->Incoming.set_reuse_addr(true);
  Impl->Incoming.listen(parseEndpoint(Address));
  Impl->Incoming.start_accept();
}

auto PeerMesh::connect(InstanceId const &Peer, std::string const &Address)
    -> void {
  auto ec = websocketpp::lib::error_code{};
  auto connection = Impl->Outgoing.get_connection("ws://" + Address, ec);
  if (ec)
    return Impl->Callbacks.Disconnected(Peer);
  auto handle = connection->get_handle();
  std::erase_if(Impl->OutgoingHandles,
                [](Handle const &it) { return it.expired(); });
  Impl->OutgoingHandles.insert(handle);
  Impl->Links[handle] = Link{true, Peer, {}};
  Impl->Outgoing.connect(connection);
}

auto PeerMesh::disconnect(InstanceId const &Peer) -> void {
  auto it = Impl->Peers.find(Peer);
  if (it == Impl->Peers.end())
    return;
  auto handle = it->second;
  Impl->Peers.erase(it);
  Impl->Links.erase(handle);
  Impl->close(handle);
  Impl->Callbacks.Disconnected(Peer);
}

auto PeerMesh::send(InstanceId const &Peer, PeerMessage const &Message)
    -> void {
  auto it = Impl->Peers.find(Peer);
  if (it != Impl->Peers.end())
    Impl->sendTo(it->second, Message);
}

auto PeerMesh::stop() -> void {
  auto ec = websocketpp::lib::error_code{};
  Impl->Incoming.stop_listening(ec);
  auto handles = std::vector<Handle>{};
  for (auto const &it : Impl->Links)
    handles.push_back(it.first);
  for (auto const &it : handles)
    Impl->close(it);
}

} // namespace dotterel
