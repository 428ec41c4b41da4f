/// \file
/// Which backend servers exist and which of them take requests: the entries in
/// the store, and what the servers say about themselves.
#pragma once

#include "LibRelay/SubReducer.h"

#include <span>
#include <string_view>

namespace dotterel::relay {

/// Maintains the table of servers. Entries that disappear during an outage of
/// the store, or because the store was restored from a copy, are kept for a
/// short time; a server that has left is not used again because an older copy
/// lists it.
class ServerListReducer : public SubReducer {
public:
  using SubReducer::SubReducer;

  auto on(ServersListed const &Event) -> void;
  auto on(ServersUpdated const &Event) -> void;
  auto on(StoreReachabilityObserved const &Event) -> void;
  auto on(Tick const &Event) -> void;

  /// Applies changes of servers. Precondition: \p Updates is in order of
  /// version.
  auto apply(std::span<ServerUpdate const> Updates) -> void;

  /// Records a response of the store to this instance or to a fresh watcher.
  auto recordStoreResponse() -> void;

  /// Records that a run of a server announced to \p Source, this instance or a
  /// peer, that it is leaving. The run receives no more requests.
  auto recordLeaving(ServerKey Key, std::string_view Source) -> void;

  /// Applies what \p Target said about itself in a response to this instance.
  auto observeNotice(Server &Target, ServerNotice const &Notice) -> void;

private:
  /// Records that the servers that had the address of \p Successor before have
  /// ended.
  auto observeReplacement(Server const &Successor) -> void;
  auto handleRemoval(ServerUpdate const &Update) -> void;
  auto put(ServerDescription Description) -> void;
  /// Returns whether an entry may come from the copy that the store was
  /// restored from.
  [[nodiscard]] auto isFromCopy(ServerDescription const &Description) const
      -> bool;
  /// Corrects an entry that may be older than what is known about the server.
  auto correctRestoredEntry(ServerDescription &Description) -> void;
  auto remove(std::string const &Id, StoreVersion Version,
              std::string_view Reason) -> void;
  /// Returns whether calls to the store fail and it has not responded for so
  /// long that entries of live servers may lapse.
  [[nodiscard]] auto isOutage() const -> bool;
  [[nodiscard]] auto isDuringOrAfterOutage() const -> bool;
};

} // namespace dotterel::relay
