/// \file
/// A request body that draws its memory from a budget as it arrives.
#pragma once

#include "LibNet/Asio.h"
#include "LibNet/MemoryBudget.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace dotterel {

/// Body type for Beast's parser. Unlike the library's, it reserves no memory
/// for the length that a caller announces, and it can discard what arrives.
struct MeteredBody {
  // NOLINTBEGIN(readability-identifier-naming): names given by the library
  struct value_type {
    std::string Text;
    /// Precondition for reading: not null unless the body is discarded.
    MemoryCharge *Charge = nullptr;
    bool IsDiscarded = false;
  };

  class reader {
  public:
    template <bool IsRequest, typename Fields>
    reader(http::header<IsRequest, Fields> & /*Header*/, value_type &Target)
        : Target(Target) {}

    auto init(boost::optional<std::uint64_t> const & /*Length*/,
              boost::system::error_code &ec) -> void {
      ec = {};
    }

    template <typename Buffers>
    auto put(Buffers const &Source, boost::system::error_code &ec)
        -> std::size_t {
      ec = {};
      auto const n = beast::buffer_bytes(Source);
      if (Target.IsDiscarded)
        return n;
      if (!reserve(Target.Text.size() + n)) {
        ec = http::error::buffer_overflow;
        return 0;
      }
      for (auto it : beast::buffers_range_ref(Source))
        Target.Text.append(static_cast<char const *>(it.data()), it.size());
      return n;
    }

    auto finish(boost::system::error_code &ec) -> void { ec = {}; }

  private:
    /// Makes room for \p Size bytes. Returns false if the budget has none.
    auto reserve(std::size_t Size) -> bool {
      auto const capacity = Target.Text.capacity();
      if (Size <= capacity)
        return true;
      auto const next = std::max(Size, capacity + capacity / 2);
      if (!Target.Charge->grow(next - capacity))
        return false;
      Target.Text.reserve(next);
      return true;
    }

    value_type &Target; // NOLINT: owned by the message
  };
  // NOLINTEND(readability-identifier-naming)
};

} // namespace dotterel
