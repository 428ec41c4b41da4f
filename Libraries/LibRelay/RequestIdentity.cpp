#include "LibRelay/RequestIdentity.h"

#include "LibCore/Hash.h"

#include <fmt/format.h>
#include <span>

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

auto combine(std::uint64_t Hash, std::span<PromptSegment const> Prompt)
    -> std::uint64_t {
  for (auto const &it : Prompt)
    Hash = combine(Hash, it.Hash);
  return Hash;
}

} // namespace

auto identify(Request const &Source) -> RequestIdentity {
  auto identity = RequestIdentity{};
  identity.Path = combine(hashText(Source.Method), Source.Host);
  identity.Path = combine(identity.Path, Source.path());
  identity.Path = Source.Body.empty()
                      ? combine(identity.Path, Source.PromptSegments)
                      : combine(identity.Path, Source.Body);
  identity.CallerPath = combine(identity.Path, Source.CallerAddress);
  auto content = combine(identity.Path, Source.Target);
  content = combine(content, Source.Model);
  content = combine(content, Source.PromptSegments);
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
  case SuspectKind::AmbiguousSegment:
    return "ambiguous-segment";
  }
  return "segment";
}

auto toString(RequestIdentity const &Identity) -> std::string {
  auto text = std::string{};
  for (auto it : Identity.keys())
    text += fmt::format("{}{:016x}", text.empty() ? "" : ",", it);
  return text;
}

} // namespace dotterel::relay
