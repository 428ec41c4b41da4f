/// \file
/// Fuzzes what the relay reads from header fields of servers and of the store.
/// The input is "NAME: VALUE" lines.
#include "LibCore/Log.h"
#include "platform/Headers.h"
#include "platform/Store.h"

#include <cstdlib>

namespace {

auto readFields(std::string_view Text) -> std::vector<dotterel::HttpField> {
  auto fields = std::vector<dotterel::HttpField>{};
  while (!Text.empty()) {
    auto line = Text.substr(0, Text.find('\n'));
    Text.remove_prefix(std::min(line.size() + 1, Text.size()));
    auto colon = std::min(line.find(": "), line.size());
    auto value = line.substr(std::min(colon + 2, line.size()));
    fields.push_back({std::string(line.substr(0, colon)), std::string(value)});
  }
  return fields;
}

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(std::uint8_t const *Data,
                                       std::size_t Size) -> int {
  using namespace dotterel;
  setLogLevel(parseLogLevel("error"));
  auto fields = readFields({reinterpret_cast<char const *>(Data), Size});
  (void)platform::readEra(fields);
  if (platform::readNotice(fields, 200).Pause)
    std::abort();
  auto notice = platform::readNotice(fields, 503);
  if (notice.Pause && (*notice.Pause < Duration{} || *notice.Pause > 24h))
    std::abort();
  // Written so that a value that is not a number fails.
  if (notice.RequestLimit && !(*notice.RequestLimit >= 0))
    std::abort();
  return 0;
}
