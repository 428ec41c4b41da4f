#include "LibNet/MemoryBudget.h"

namespace dotterel {

auto MemoryBudget::tryTake(std::size_t Bytes, std::size_t Held) -> bool {
  auto const isSmall = Held + Bytes <= SmallBytes;
  auto const limit = isSmall ? Limit : largeLimit();
  if (Bytes > limit || Used > limit - Bytes) {
    ++Refusals;
    return false;
  }
  Used += Bytes;
  return true;
}

auto MemoryCharge::grow(std::size_t More) -> bool {
  if (!Budget->tryTake(More, Bytes))
    return false;
  Bytes += More;
  return true;
}

} // namespace dotterel
