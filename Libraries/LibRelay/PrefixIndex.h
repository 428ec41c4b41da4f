/// \file
/// Which servers were sent which shared parts of prompts, by all instances.
#pragma once

#include "LibRelay/Request.h"
#include "LibRelay/ServerTable.h"

#include <deque>
#include <span>
#include <unordered_map>
#include <vector>

namespace dotterel::relay {

/// A prompt's beginning: a hash over its first parts, and their tokens.
struct Prefix {
  std::uint64_t Hash = 0;
  std::uint32_t Tokens = 0;
};

/// Returns one prefix for each part but the last, which only this request or
/// its session has. Prompts for different models share nothing.
[[nodiscard]] auto sharedPrefixes(Request const &Source) -> std::vector<Prefix>;

/// A server that keeps a prefix, as far as this instance knows.
struct Holder {
  ServerKey Server = 0;
  Instant LastUsed;
};

/// Remembers which server was sent which prefix last.
/// Thread safety: none.
class PrefixIndex {
public:
  /// Records that \p Server has read the prefix at \p Now.
  auto record(std::uint64_t Hash, ServerKey Server, Instant Now) -> void;

  /// Returns the servers that keep the prefix.
  [[nodiscard]] auto holders(std::uint64_t Hash) const
      -> std::span<Holder const>;

  /// Returns how many tokens from the prompt's beginning \p Server keeps.
  [[nodiscard]] auto cachedTokens(std::span<Prefix const> Prefixes,
                                  ServerKey Server) const -> std::uint32_t;

  /// Forgets what was last used before \p Oldest.
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
