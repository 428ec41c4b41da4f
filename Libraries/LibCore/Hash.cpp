#include "LibCore/Hash.h"

#include <xxhash.h>

namespace dotterel {

auto hashText(std::string_view Text, std::uint64_t Seed) -> std::uint64_t {
  return XXH64(Text.data(), Text.size(), Seed);
}

auto rendezvousScore(std::uint64_t Key, std::string_view Node)
    -> std::uint64_t {
  return hashText(Node, Key);
}

auto hashPrefixes(std::string_view Prompt, std::size_t BlockBytes)
    -> std::vector<std::uint64_t> {
  auto hashes = std::vector<std::uint64_t>{};
  auto hash = std::uint64_t{0};
  for (auto n = std::size_t{0}; n + BlockBytes <= Prompt.size();
       n += BlockBytes) {
    hash = hashText(Prompt.substr(n, BlockBytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

auto equalsInConstantTime(std::string_view Left, std::string_view Right)
    -> bool {
  if (Left.size() != Right.size())
    return false;
  auto difference = 0U;
  for (auto n = std::size_t{0}; n < Left.size(); ++n)
    difference |= static_cast<unsigned char>(Left[n]) ^
                  static_cast<unsigned char>(Right[n]);
  return difference == 0;
}

} // namespace dotterel
