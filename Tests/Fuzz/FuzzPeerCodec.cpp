/// \file
/// Fuzzes the decoder of peer messages. A decoded message must encode to bytes
/// that decode again.
#include "LibPeer/Codec.h"

#include <cstdlib>

extern "C" auto LLVMFuzzerTestOneInput(std::uint8_t const *Data,
                                       std::size_t Size) -> int {
  auto message = dotterel::decodePeerMessage({Data, Size});
  if (!message)
    return 0;
  if (!dotterel::decodePeerMessage(dotterel::encodePeerMessage(*message)))
    std::abort();
  return 0;
}
