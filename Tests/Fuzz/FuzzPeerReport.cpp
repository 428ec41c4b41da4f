/// \file
/// Fuzzes the decoder of reports between relaying instances. A decoded report
/// must encode to bytes that decode again.
#include "LibRelay/Peers.h"

#include <cstdlib>

extern "C" auto LLVMFuzzerTestOneInput(std::uint8_t const *Data,
                                       std::size_t Size) -> int {
  using namespace dotterel::relay;
  auto report = decodePeerReport({reinterpret_cast<char const *>(Data), Size});
  if (report && !decodePeerReport(encodePeerReport(*report)))
    std::abort();
  return 0;
}
