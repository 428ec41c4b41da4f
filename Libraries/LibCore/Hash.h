/// \file
/// Hashing for placement, steering and prompt prefixes.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace dotterel {

/// Hashes \p Text. The value is the same on every instance.
[[nodiscard]] auto hashText(std::string_view Text, std::uint64_t Seed = 0)
    -> std::uint64_t;

/// Returns the rendezvous score of \p Node for \p Key: for one key, nodes are
/// preferred in descending order of score.
[[nodiscard]] auto rendezvousScore(std::uint64_t Key, std::string_view Node)
    -> std::uint64_t;

/// Returns one hash for each prefix of \p Prompt whose length is a multiple of
/// \p BlockBytes, shortest first. Equal prefixes have equal hashes; an
/// incomplete last block is ignored.
/// Precondition: \p BlockBytes is not zero.
[[nodiscard]] auto hashPrefixes(std::string_view Prompt, std::size_t BlockBytes)
    -> std::vector<std::uint64_t>;

/// Compares two secrets in a time that depends only on their lengths, so that
/// the timing does not reveal matching characters.
[[nodiscard]] auto equalsInConstantTime(std::string_view Left,
                                        std::string_view Right) -> bool;

} // namespace dotterel
