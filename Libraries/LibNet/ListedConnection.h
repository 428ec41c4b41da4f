/// \file
/// The entry of a connection in the table of its server. Internal to LibNet.
#pragma once

#include "LibNet/Asio.h"
#include "LibNet/ConnectionTable.h"

#include <string>

namespace dotterel {

/// Lists a connection in the table while it exists.
class ListedConnection {
public:
  ListedConnection(ConnectionTable &Table, beast::tcp_stream &Stream)
      : Table(Table), Entry(Table.add(describe(Stream))) {}
  ~ListedConnection() { Table.remove(Entry); }
  ListedConnection(ListedConnection const &) = delete;
  auto operator=(ListedConnection const &) -> ListedConnection & = delete;

  /// Records that the connection made progress in \p Phase, in which its
  /// request holds \p Bytes.
  auto progress(ConnectionPhase Phase, std::size_t Bytes) -> void {
    // A connection that was evicted stays as it is.
    if (!Entry->Close)
      return;
    Entry->Phase = Phase;
    Entry->Bytes = Bytes;
    Entry->LastProgressAt = std::chrono::steady_clock::now();
  }

private:
  static auto describe(beast::tcp_stream &Stream) -> ConnectionEntry {
    auto ec = boost::system::error_code{};
    auto const endpoint = Stream.socket().remote_endpoint(ec);
    return {ec ? std::string{} : endpoint.address().to_string(),
            ConnectionPhase::Idle, std::chrono::steady_clock::now(), 0,
            [&Stream] { Stream.close(); }};
  }

  ConnectionTable &Table; // NOLINT: owned by the server
  ConnectionTable::Handle Entry;
};

} // namespace dotterel
