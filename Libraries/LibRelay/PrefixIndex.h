/// \file
/// Index of the servers that have prompt prefixes cached, from the requests of
/// all instances.
#pragma once

#include "LibRelay/Request.h"
#include "LibRelay/ServerTable.h"

#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace dotterel::relay {

/// A prefix of a prompt: the hash over its segments, and their number of
/// tokens.
struct Prefix {
  std::uint64_t Hash = 0;
  std::uint32_t Tokens = 0;
};

/// Returns one prefix for each segment except for the last, which is specific
/// to the request or its session. The hash includes the model, because prompts
/// for different models share nothing.
[[nodiscard]] auto sharedPrefixes(Request const &Source) -> std::vector<Prefix>;

/// A server that is believed to have a prefix cached.
struct Holder {
  ServerKey Server = 0;
  Instant LastUsed;
};

/// Maps prefixes to the servers that prefilled them last. Thread safety: none.
class PrefixIndex {
public:
  /// Records that \p Server has prefilled the prefix at \p Now.
  auto record(std::uint64_t Hash, ServerKey Server, Instant Now) -> void;

  /// Returns the servers that have the prefix cached.
  [[nodiscard]] auto holders(std::uint64_t Hash) const
      -> std::span<Holder const>;

  /// Returns the number of tokens of the longest of \p Prefixes that \p Server
  /// has cached. Precondition: \p Prefixes is in ascending order of length.
  [[nodiscard]] auto cachedTokens(std::span<Prefix const> Prefixes,
                                  ServerKey Server) const -> std::uint32_t;

  /// Removes entries that were last used at or before \p Oldest.
  auto expire(Instant Oldest) -> void;

private:
  struct Use {
    std::uint64_t Hash = 0;
    ServerKey Server = 0;
    Instant At;
  };

  std::unordered_map<std::uint64_t, std::vector<Holder>> HoldersByHash;
  std::deque<Use> Uses;
};

} // namespace dotterel::relay
