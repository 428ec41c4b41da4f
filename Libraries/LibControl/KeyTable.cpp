#include "LibControl/KeyTable.h"

#include <charconv>
#include <fmt/format.h>

namespace dotterel {

namespace {

constexpr auto EpochDuration = Duration{1h};
constexpr auto RetainedEpochs = std::uint64_t{24};
constexpr auto MaximumKeys = std::size_t{50000};
constexpr auto MaximumResponseBytes = std::size_t{8} << 20U;
constexpr auto OwnerRunDigits = std::size_t{16};

auto parseNumber(std::string_view Text, int Base)
    -> std::optional<std::uint64_t> {
  auto number = std::uint64_t{0};
  auto const *end = Text.data() + Text.size();
  auto result = std::from_chars(Text.data(), end, number, Base);
  if (result.ec != std::errc{} || result.ptr != end || Text.empty())
    return std::nullopt;
  return number;
}

} // namespace

auto parseKeyPrefix(std::string_view Key) -> std::optional<KeyPrefix> {
  // Format: "i<16 hex digits>e<decimal epoch>.<caller's part>".
  auto dot = Key.find('.');
  if (dot == std::string_view::npos || dot < OwnerRunDigits + 3 ||
      Key[0] != 'i' || Key[OwnerRunDigits + 1] != 'e')
    return std::nullopt;
  auto ownerRun = parseNumber(Key.substr(1, OwnerRunDigits), 16);
  auto epoch =
      parseNumber(Key.substr(OwnerRunDigits + 2, dot - OwnerRunDigits - 2), 10);
  if (!ownerRun || !epoch)
    return std::nullopt;
  return KeyPrefix{*ownerRun, *epoch};
}

auto formatKeyPrefix(KeyPrefix const &Prefix) -> std::string {
  return fmt::format("i{:016x}e{}.", Prefix.OwnerRun, Prefix.Epoch);
}

auto KeyTable::advance(Instant Now, Instant Start) -> void {
  CurrentEpoch = static_cast<std::uint64_t>((Now - Start) / EpochDuration) + 1;
  while (!Epochs.empty() &&
         Epochs.begin()->first + RetainedEpochs < CurrentEpoch) {
    for (auto const &it : Epochs.begin()->second)
      ResponseBytes -= it.second.Response.Body.size();
    Epochs.erase(Epochs.begin());
  }
}

auto KeyTable::isRetained(std::uint64_t Epoch) const -> bool {
  return Epoch <= CurrentEpoch && Epoch + RetainedEpochs >= CurrentEpoch;
}

auto KeyTable::admit(std::uint64_t Epoch, ScopedKey const &Key)
    -> KeyAdmission {
  if (!isRetained(Epoch))
    return KeyAdmission::Expired;
  if (find(Epoch, Key) != nullptr)
    return KeyAdmission::Known;
  if (size() >= MaximumKeys)
    return KeyAdmission::TableFull;
  Epochs[Epoch].emplace(Key, KeyEntry{});
  return KeyAdmission::New;
}

auto KeyTable::find(std::uint64_t Epoch, ScopedKey const &Key) -> KeyEntry * {
  auto epoch = Epochs.find(Epoch);
  if (epoch == Epochs.end())
    return nullptr;
  auto it = epoch->second.find(Key);
  return it == epoch->second.end() ? nullptr : &it->second;
}

auto KeyTable::finish(std::uint64_t Epoch, ScopedKey const &Key,
                      ClaimState State, StoredResponse const &Response)
    -> std::vector<CallId> {
  auto *entry = find(Epoch, Key);
  if (entry == nullptr)
    return {};
  entry->State = State;
  entry->Response = Response;
  if (ResponseBytes + Response.Body.size() > MaximumResponseBytes)
    entry->Response.Body.clear();
  ResponseBytes += entry->Response.Body.size();
  return std::exchange(entry->Waiters, {});
}

auto KeyTable::remove(std::uint64_t Epoch, ScopedKey const &Key)
    -> std::vector<CallId> {
  auto *entry = find(Epoch, Key);
  if (entry == nullptr)
    return {};
  auto waiters = std::move(entry->Waiters);
  Epochs[Epoch].erase(Key);
  return waiters;
}

auto KeyTable::size() const -> std::size_t {
  auto n = std::size_t{0};
  for (auto const &it : Epochs)
    n += it.second.size();
  return n;
}

} // namespace dotterel
