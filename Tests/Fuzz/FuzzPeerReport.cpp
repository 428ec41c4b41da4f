/// \file
/// Fuzzes the decoders of datagrams between relaying instances. What was
/// decoded must encode to bytes that decode again.
#include "LibRelay/Peers.h"
#include "LibRelay/PermitMessage.h"

#include <cstdlib>

extern "C" auto LLVMFuzzerTestOneInput(std::uint8_t const *Data,
                                       std::size_t Size) -> int {
  using namespace dotterel::relay;
  auto bytes = std::string_view(reinterpret_cast<char const *>(Data), Size);
  auto report = decodePeerReport(bytes);
  if (report && !decodePeerReport(encodePeerReport(*report)))
    std::abort();
  auto message = decodePermitMessage(bytes);
  if (message && !decodePermitMessage(encodePermitMessage(*message)))
    std::abort();
  return 0;
}
