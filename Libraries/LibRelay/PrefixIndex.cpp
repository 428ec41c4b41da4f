#include "LibRelay/PrefixIndex.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <string_view>

namespace dotterel::relay {

namespace {

/// Limit on recorded uses; bounds the memory to a few megabytes.
constexpr auto MaximumUses = std::size_t{50000};

} // namespace

auto sharedPrefixes(Request const &Source) -> std::vector<Prefix> {
  auto prefixes = std::vector<Prefix>{};
  auto current = Prefix{hashText(Source.Model), 0};
  for (auto n = std::size_t{0}; n + 1 < Source.PromptSegments.size(); ++n) {
    auto const &part = Source.PromptSegments[n];
    auto bytes = std::string_view(reinterpret_cast<char const *>(&part.Hash),
                                  sizeof part.Hash);
    current.Hash = hashText(bytes, current.Hash);
    current.Tokens += part.Tokens;
    prefixes.push_back(current);
  }
  return prefixes;
}

auto PrefixIndex::record(std::uint64_t Hash, ServerKey Server, Instant Now)
    -> void {
  auto &holders = HoldersByHash[Hash];
  auto it = std::ranges::find(holders, Server, &Holder::Server);
  if (it == holders.end())
    holders.push_back({Server, Now});
  else
    it->LastUsed = std::max(it->LastUsed, Now);
  Uses.push_back({Hash, Server, Now});
  if (Uses.size() > MaximumUses)
    expire(Uses.front().At);
}

auto PrefixIndex::holders(std::uint64_t Hash) const -> std::span<Holder const> {
  auto it = HoldersByHash.find(Hash);
  if (it == HoldersByHash.end())
    return {};
  return it->second;
}

auto PrefixIndex::cachedTokens(std::span<Prefix const> Prefixes,
                               ServerKey Server) const -> std::uint32_t {
  for (auto n = Prefixes.size(); n > 0; --n) {
    for (auto const &it : holders(Prefixes[n - 1].Hash)) {
      if (it.Server == Server)
        return Prefixes[n - 1].Tokens;
    }
  }
  return 0;
}

auto PrefixIndex::expire(Instant Oldest) -> void {
  while (!Uses.empty() && Uses.front().At <= Oldest) {
    auto const use = Uses.front();
    Uses.pop_front();
    auto it = HoldersByHash.find(use.Hash);
    if (it == HoldersByHash.end())
      continue;
    std::erase_if(it->second, [&](Holder const &Kept) {
      return Kept.Server == use.Server && Kept.LastUsed <= use.At;
    });
    if (it->second.empty())
      HoldersByHash.erase(it);
  }
}

} // namespace dotterel::relay
