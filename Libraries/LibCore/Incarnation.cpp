#include "LibCore/Incarnation.h"

#include <random>

namespace dotterel {

auto generateIncarnation() -> Incarnation {
  auto source = std::random_device{};
  auto high = static_cast<Incarnation>(source());
  return (high << 32U | source()) | 1U;
}

} // namespace dotterel
