#include "LibRelay/RequestIdentity.h"

#include "LibCore/Hash.h"

#include <fmt/format.h>

namespace dotterel::relay {

namespace {

/// Appends \p Text with its length, so that parts cannot be confused.
auto combine(std::uint64_t Hash, std::string_view Text) -> std::uint64_t {
  return hashText(Text, Hash ^ (Text.size() + 1));
}

auto combine(std::uint64_t Hash, std::uint64_t Value) -> std::uint64_t {
  return combine(Hash, std::string_view(reinterpret_cast<char const *>(&Value),
                                        sizeof Value));
}

} // namespace

auto identify(Request const &Source) -> RequestIdentity {
  auto identity = RequestIdentity{};
  auto content = hashText(Source.Method);
  content = combine(content, Source.Host);
  content = combine(content, Source.Target);
  content = combine(content, Source.Body);
  content = combine(content, Source.Model);
  for (auto const &it : Source.PromptSegments)
    content = combine(content, it.Hash);
  identity.Content = content;
  identity.Caller = combine(content, Source.CallerAddress);
  auto fields = combine(content, "fields");
  for (auto const &it : Source.Fields) {
    if (it.Value == Source.Id)
      continue;
    fields = combine(fields, it.Name);
    fields = combine(fields, it.Value);
  }
  identity.Fields = fields;
  identity.Exact = combine(fields, Source.CallerAddress);
  return identity;
}

auto toString(SuspectKind Kind) -> std::string_view {
  switch (Kind) {
  case SuspectKind::Segment:
    return "segment";
  case SuspectKind::Request:
    return "request";
  case SuspectKind::AmbiguousRequest:
    return "ambiguous-request";
  }
  return "segment";
}

auto toString(RequestIdentity const &Identity) -> std::string {
  return fmt::format("{:016x},{:016x},{:016x},{:016x}", Identity.Exact,
                     Identity.Fields, Identity.Caller, Identity.Content);
}

} // namespace dotterel::relay
