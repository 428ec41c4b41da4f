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
/// A peer that leaves this much unread is cut off, so that it cannot make
/// this instance hold its messages.
constexpr auto MaximumUnsentBytes = std::size_t{16} << 20U;

/// What is known of one connection.
struct Link {
  bool IsOutgoing = false;
  InstanceId Expected;
  InstanceId Peer;
};

} // namespace

struct PeerMesh::Implementation {
  Implementation(asio::io_context &Context, InstanceId Self, Incarnation Run,
                 std::string Key, PeerCallbacks Callbacks)
      : Self(std::move(Self)), Run(Run), Key(std::move(Key)),
        Callbacks(std::move(Callbacks)) {
    Incoming.init_asio(&Context);
    Outgoing.init_asio(&Context);
    prepare(Incoming);
    prepare(Outgoing);
    Incoming.set_open_handler([this](Handle const &Opened) {
      Links[Opened] = Link{};
      sendHello(Opened);
    });
    Outgoing.set_open_handler(
        [this](Handle const &Opened) { sendHello(Opened); });
    Outgoing.set_fail_handler([this](Handle const &Failed) { drop(Failed); });
  }

  template <typename Endpoint> auto prepare(Endpoint &Target) -> void {
    Target.clear_access_channels(websocketpp::log::alevel::all);
    Target.clear_error_channels(websocketpp::log::elevel::all);
    Target.set_max_message_size(MaximumMessageBytes);
    Target.set_open_handshake_timeout(HandshakeTimeoutMs);
    Target.set_close_handshake_timeout(HandshakeTimeoutMs);
    Target.set_message_handler([this](Handle const &From, auto const &Message) {
      auto const &text = Message->get_payload();
      auto const *bytes = reinterpret_cast<std::uint8_t const *>(text.data());
      receive(From, {bytes, text.size()});
    });
    Target.set_close_handler([this](Handle const &Closed) { drop(Closed); });
  }

  auto sendHello(Handle const &To) -> void {
    sendTo(To, PeerHello{PeerProtocolVersion, Self, Run, Key});
  }

  auto receive(Handle const &From, std::span<std::uint8_t const> Bytes)
      -> void {
    auto message = decodePeerMessage(Bytes);
    auto it = Links.find(From);
    if (it == Links.end())
      return;
    if (!message)
      return close(From);
    if (it->second.Peer.empty())
      return greet(From, it->second, *message);
    Callbacks.Received(it->second.Peer, std::move(*message));
  }

  auto greet(Handle const &From, Link &Target, PeerMessage const &Message)
      -> void {
    auto const *hello = std::get_if<PeerHello>(&Message);
    auto isTrusted = hello != nullptr &&
                     hello->Version == PeerProtocolVersion &&
                     equalsInConstantTime(hello->Key, Key);
    if (!isTrusted) {
      Callbacks.Refused();
      return close(From);
    }
    if (Target.IsOutgoing && hello->Instance != Target.Expected)
      return close(From);
    auto existing = Peers.find(hello->Instance);
    if (existing != Peers.end()) {
      auto old = existing->second;
      Peers.erase(existing);
      Links.erase(old);
      close(old);
      Callbacks.Disconnected(hello->Instance);
    }
    Target.Peer = hello->Instance;
    Peers[hello->Instance] = From;
    Callbacks.Connected(hello->Instance, hello->Run);
  }

  auto drop(Handle const &Closed) -> void {
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

  auto close(Handle const &Target) -> void {
    auto ec = websocketpp::lib::error_code{};
    if (isOutgoing(Target))
      Outgoing.close(Target, websocketpp::close::status::normal, "", ec);
    else
      Incoming.close(Target, websocketpp::close::status::normal, "", ec);
  }

  [[nodiscard]] auto isOutgoing(Handle const &Target) const -> bool {
    return OutgoingHandles.contains(Target);
  }

  auto sendTo(Handle const &To, PeerMessage const &Message) -> void {
    auto bytes = encodePeerMessage(Message);
    if (isOutgoing(To))
      sendOver(Outgoing, To, bytes);
    else
      sendOver(Incoming, To, bytes);
  }

  template <typename Endpoint>
  auto sendOver(Endpoint &Target, Handle const &To,
                std::span<std::uint8_t const> Bytes) -> void {
    auto ec = websocketpp::lib::error_code{};
    auto connection = Target.get_con_from_hdl(To, ec);
    if (ec)
      return;
    if (connection->get_buffered_amount() > MaximumUnsentBytes)
      return close(To);
    connection->send(Bytes.data(), Bytes.size(),
                     websocketpp::frame::opcode::binary);
  }

  Server Incoming;
  Client Outgoing;
  InstanceId Self;
  Incarnation Run;
  std::string Key;
  PeerCallbacks Callbacks;
  std::map<Handle, Link, HandleOrder> Links;
  std::set<Handle, HandleOrder> OutgoingHandles;
  std::map<InstanceId, Handle> Peers;
};

PeerMesh::PeerMesh(asio::io_context &Context, InstanceId Self, Incarnation Run,
                   std::string Key, PeerCallbacks Callbacks)
    : Self(std::make_unique<Implementation>(Context, std::move(Self), Run,
                                            std::move(Key),
                                            std::move(Callbacks))) {}

PeerMesh::~PeerMesh() = default;

auto PeerMesh::listen(std::string const &Address) -> void {
  Self->Incoming.set_reuse_addr(true);
  Self->Incoming.listen(parseEndpoint(Address));
  Self->Incoming.start_accept();
}

auto PeerMesh::connect(InstanceId const &Peer, std::string const &Address)
    -> void {
  auto ec = websocketpp::lib::error_code{};
  auto connection = Self->Outgoing.get_connection("ws://" + Address, ec);
  if (ec)
    return Self->Callbacks.Disconnected(Peer);
  auto handle = connection->get_handle();
  std::erase_if(Self->OutgoingHandles,
                [](Handle const &it) { return it.expired(); });
  Self->OutgoingHandles.insert(handle);
  Self->Links[handle] = Link{true, Peer, {}};
  Self->Outgoing.connect(connection);
}

auto PeerMesh::disconnect(InstanceId const &Peer) -> void {
  auto it = Self->Peers.find(Peer);
  if (it == Self->Peers.end())
    return;
  auto handle = it->second;
  Self->Peers.erase(it);
  Self->Links.erase(handle);
  Self->close(handle);
  Self->Callbacks.Disconnected(Peer);
}

auto PeerMesh::send(InstanceId const &Peer, PeerMessage const &Message)
    -> void {
  auto it = Self->Peers.find(Peer);
  if (it != Self->Peers.end())
    Self->sendTo(it->second, Message);
}

auto PeerMesh::stop() -> void {
  auto ec = websocketpp::lib::error_code{};
  Self->Incoming.stop_listening(ec);
  auto handles = std::vector<Handle>{};
  for (auto const &it : Self->Links)
    handles.push_back(it.first);
  for (auto const &it : handles)
    Self->close(it);
}

} // namespace dotterel
