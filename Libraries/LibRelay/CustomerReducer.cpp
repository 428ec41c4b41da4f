#include "LibRelay/CustomerReducer.h"

#include "LibRelay/LeaderReducer.h"

namespace dotterel::relay {

namespace {

/// A process that is killed loses at most the counts of this time.
constexpr auto UsageInterval = Duration{500ms};
/// The counts of all windows that are not overdue are repeated at this
/// interval, for lost datagrams and for instances that have just become
/// successors.
constexpr auto FullUsageInterval = Duration{2500ms};

} // namespace

auto CustomerReducer::observeConfirmation(std::optional<Duration> AskedAt)
    -> void {
  // After the store was restored from a copy it may hold an older version.
  auto const isLatest =
      CurrentState.Config &&
      CurrentState.StoredConfiguration == CurrentState.Config->version();
  if (!AskedAt || !isLatest)
    return;
  CurrentState.Customers.Confirmation.confirm(*AskedAt);
  CurrentState.StoreWatch.IsConfirmationOverdue = false;
}

auto CustomerReducer::on(ConfirmationRequested const &Event) -> void {
  auto const &storeWatch = CurrentState.StoreWatch;
  auto const age = CurrentState.Customers.Confirmation.age(Event.ReceivedAt);
  if (!storeWatch.IsWatching || age == Duration::max())
    return;
  emit(SendConfirmationResponse{
      Event.PeerAddress,
      {Event.Request.AskedAt, age, storeWatch.Configuration}});
}

auto CustomerReducer::on(ConfirmationAnswered const &Event) -> void {
  auto &storeWatch = CurrentState.StoreWatch;
  auto const &response = Event.Response;
  if (response.Configuration == storeWatch.Configuration)
    return observeConfirmation(response.AskedAt - response.Age);
  storeWatch.AnnouncedConfiguration =
      std::max(storeWatch.AnnouncedConfiguration, response.Configuration);
}

auto CustomerReducer::askWatcher(Duration SinceBoot) -> void {
  auto watchers = std::vector<std::string>{};
  for (auto const &[address, peer] : CurrentState.Peers.all()) {
    if (CurrentState.isFreshWatcher(peer))
      watchers.push_back(address);
  }
  if (watchers.empty())
    return;
  auto const n = CurrentState.Customers.ConfirmationsAsked++;
  emit(SendConfirmationRequest{watchers[n % watchers.size()], {SinceBoot}});
}

auto CustomerReducer::updateConfirmation(Duration SinceBoot) -> void {
  auto &customers = CurrentState.Customers;
  if (!CurrentState.Options.RevocationBound || !CurrentState.Config ||
      CurrentState.Config->customers() == nullptr) {
    customers.IsConfirmed = true;
    return;
  }
  auto const bound = *CurrentState.Options.RevocationBound;
  auto &confirmation = customers.Confirmation;
  if (!CurrentState.StoreWatch.IsWatching &&
      confirmation.shouldAsk(SinceBoot, bound))
    askWatcher(SinceBoot);
  CurrentState.StoreWatch.IsConfirmationOverdue =
      confirmation.isOverdue(SinceBoot, bound);
  auto const isConfirmed = confirmation.isValid(SinceBoot, bound);
  if (isConfirmed == customers.IsConfirmed)
    return;
  customers.IsConfirmed = isConfirmed;
  log(isConfirmed ? LogLevel::Info : LogLevel::Warning, "keys-confirmed",
      "confirmed={} version={} bound_ms={}", isConfirmed,
      CurrentState.Config->version(), toMilliseconds(bound));
}

auto CustomerReducer::on(UsageReceived const &Event) -> void {
  if (CurrentState.Options.UsageWindow == Duration{})
    return;
  CurrentState.Customers.Usage.merge(Event.PeerAddress, Event.Message,
                                     CurrentState.usageWindow(now()));
}

auto CustomerReducer::countStart(InFlightRequest &Target, Instant At) -> void {
  if (Target.IsCounted || Target.Customer.empty() ||
      CurrentState.Options.UsageWindow == Duration{})
    return;
  Target.IsCounted = true;
  CurrentState.Customers.Usage.record(CurrentState.usageWindow(At),
                                      Target.Customer);
  emit(IncrementCounter{CounterMetric::CustomerStarts, {}, Target.Customer});
}

auto CustomerReducer::sendUsage(bool All) -> void {
  auto &usage = CurrentState.Customers.Usage;
  auto const current = CurrentState.usageWindow(now());
  usage.advance(current);
  auto const &options = CurrentState.Options;
  // Windows before these are reported, or overdue.
  auto const open =
      static_cast<UsageWindow>(options.UsageDeadline / options.UsageWindow);
  auto send = SendUsage{LeaderReducer(CurrentState, Output).successors(), {}};
  for (auto &it : usage.takeOwn(All)) {
    if (it.Window + open >= current)
      send.Messages.push_back({CurrentState.Self.Incarnation, std::move(it)});
  }
  if (!send.Messages.empty() && !send.Addresses.empty())
    emit(std::move(send));
}

auto CustomerReducer::on(Tick const &Event) -> void {
  CurrentState.TickedAt = now();
  CurrentState.SinceBootAtTick = Event.SinceBoot;
  updateConfirmation(Event.SinceBoot);
  if (CurrentState.Options.UsageWindow == Duration{})
    return;
  CurrentState.TimeOfDay.observe(Event.SinceEpoch, Event.SinceBoot);
  auto &customers = CurrentState.Customers;
  if (now() < customers.NextUsageAt)
    return;
  customers.NextUsageAt = now() + UsageInterval;
  auto const isFull = now() >= customers.NextFullUsageAt;
  if (isFull)
    customers.NextFullUsageAt = now() + FullUsageInterval;
  sendUsage(isFull);
}

} // namespace dotterel::relay
