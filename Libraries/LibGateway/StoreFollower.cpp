#include "LibGateway/StoreFollower.h"

#include "LibCore/BootClock.h"
#include "LibCore/Log.h"
#include "platform/Store.h"

#include <fmt/format.h>
#include <optional>
#include <random>

namespace dotterel {

namespace {

using platform::Freshness;
using platform::StoreChanges;
using platform::StoredObject;

/// Time for the store's answer beyond what it was asked to wait; some hundred
/// times its usual one, so that a slow store is still used.
constexpr auto CallTimeout = Duration{1500ms};
/// A watcher's answers must be fresh for those that rely on it.
constexpr auto WatcherWait = std::chrono::milliseconds{400};
/// A watch that is renewed this often shows a connection that went silent
/// within the time in which a leaving server must be noticed.
constexpr auto DirectWait = std::chrono::milliseconds{1500};
/// Changes that are known to exist are there at once.
constexpr auto CatchUpWait = std::chrono::milliseconds{100};
/// Time after which an instance that relies on watchers looks again whether it
/// has to ask the store.
constexpr auto RelyInterval = Duration{100ms};
/// Changes that follow each other faster are read together by instances that
/// do not watch for others: at the start of a fleet every server registers.
constexpr auto CatchUpInterval = Duration{250ms};
/// Pauses after a call that failed; the store refuses callers beyond its rate.
constexpr auto ShortestPause = Duration{100ms};
constexpr auto LongestPause = Duration{1s};
/// Where watchers ask for all, the others need not ask as often.
constexpr auto LongestPauseOfOthers = Duration{3s};
/// Instances are listed again to find those whose reports were all lost.
constexpr auto PeerListInterval = Duration{20s};
constexpr auto StatusOk = 200U;
constexpr auto StatusCreated = 201U;
constexpr auto StatusConflict = 409U;

/// Waits longer after each failure in a row.
class Backoff {
public:
  auto next(Duration Longest) -> Duration {
    auto spread = std::uniform_real_distribution<double>(0.5, 1.0);
    auto span = scaled(Current, spread(Random));
    Current = std::min(2 * Current, Longest);
    return span;
  }
  auto reset() -> void { Current = ShortestPause; }

private:
  Duration Current = ShortestPause;
  std::mt19937 Random{std::random_device{}()};
};

} // namespace

struct StoreFollower::Implementation
    : std::enable_shared_from_this<StoreFollower::Implementation> {
  Implementation(asio::io_context &Context, std::string Address,
                 relay::PeerRecord Record, RelayLoop &Owner)
      : Context(Context), Address(std::move(Address)),
        Record(std::move(Record)), Owner(Owner) {}

  /// What to do with the objects of one kind.
  struct Follower {
    std::string_view Kind;
    std::function<void(std::vector<StoredObject> const &, std::uint64_t)>
        Listed;
    std::function<void(StoreChanges const &)> Changed;
    /// Whether this instance has to ask the store.
    std::function<bool(relay::StoreWatch const &)> IsNeeded;
    /// Revision up to which the kind is known, also from other instances.
    std::uint64_t relay::StoreWatch::*KnownAsOf;
  };

  /// Keeps one connection for one kind, and replaces it when it fails.
  struct Line {
    std::unique_ptr<HttpConnection> Connection;
  };

  /// Makes one call. Returns nothing if no whole answer came.
  auto call(Line &Over, HttpRequest const &Request, Duration Timeout)
      -> Awaitable<std::optional<HttpResponse>> {
    if (Over.Connection && !Over.Connection->isIdle())
      Over.Connection.reset();
    if (!Over.Connection) {
      Over.Connection =
          std::make_unique<HttpConnection>(Context.get_executor());
      if (!co_await Over.Connection->connect(Address, CallTimeout)) {
        Over.Connection.reset();
        co_return std::nullopt;
      }
    }
    auto &connection = *Over.Connection;
    auto reply = co_await connection.roundTrip(Request, CallTimeout, Timeout);
    if (!reply || !connection.isReusable())
      Over.Connection.reset();
    co_return reply;
  }

  auto get(Line &Over, std::string Path, Duration Wait)
      -> Awaitable<std::optional<HttpResponse>> {
    auto request = HttpRequest{"GET", std::move(Path), "", {}, ""};
    auto reply = co_await call(Over, request, Wait + CallTimeout);
    auto status = reply ? reply->Status : 0;
    auto isReachable = status == StatusOk || status == StatusGone;
    Owner.feed(relay::StoreReachabilityObserved{
        isReachable, isReachable ? "" : fmt::format("status {}", status)});
    co_return reply;
  }

  /// Reads all pages of a kind. Returns the revision of the first page, from
  /// which changes follow, or nothing.
  auto list(Line &Over, std::string_view Kind, std::vector<StoredObject> &Into,
            Freshness Wanted = Freshness::Current)
      -> Awaitable<std::optional<std::uint64_t>> {
    auto asOf = std::optional<std::uint64_t>{};
    auto after = std::string{};
    while (true) {
      auto reply = co_await get(Over, platform::listPath(Kind, after, Wanted),
                                Duration{});
      if (!reply || reply->Status != StatusOk)
        co_return std::nullopt;
      auto page = platform::readPage(reply->Body);
      if (!page) {
        log(LogLevel::Warning, "store-page-unreadable", {{"kind", Kind}});
        co_return std::nullopt;
      }
      if (!asOf)
        asOf = page->AsOf;
      for (auto &it : page->Objects)
        Into.push_back(std::move(it));
      if (!page->HasMore || page->Objects.empty())
        co_return asOf;
      after = Into.back().Name;
    }
  }

  auto follow(Follower What) -> Awaitable<void> {
    auto line = Line{};
    auto backoff = Backoff{};
    while (true) {
      auto objects = std::vector<StoredObject>{};
      auto asOf = co_await list(line, What.Kind, objects);
      if (!asOf) {
        co_await sleepFor(backoff.next(longestPause()));
        continue;
      }
      What.Listed(objects, *asOf);
      backoff.reset();
      co_await watch(line, What, *asOf, backoff);
      log(LogLevel::Info, "store-watch-restarted", {{"kind", What.Kind}});
    }
  }

  [[nodiscard]] auto following() const -> relay::StoreWatch const & {
    return Owner.state().StoreWatch;
  }

  [[nodiscard]] auto longestPause() const -> Duration {
    return following().IsWatcher ? LongestPause : LongestPauseOfOthers;
  }

  [[nodiscard]] auto watchWait() const -> std::chrono::milliseconds {
    if (following().IsWatcher)
      return WatcherWait;
    return following().IsWatching ? DirectWait : CatchUpWait;
  }

  /// Passes changes on until the history that is needed is gone.
  auto watch(Line &Over, Follower const &What, std::uint64_t AsOf,
             Backoff &Pauses) -> Awaitable<void> {
    while (true) {
      while (!What.IsNeeded(following()))
        co_await sleepFor(RelyInterval);
      auto wait = watchWait();
      AsOf = std::max(AsOf, following().*What.KnownAsOf);
      auto reply =
          co_await get(Over, platform::watchPath(What.Kind, AsOf, wait), wait);
      if (reply && reply->Status == StatusGone)
        co_return;
      auto changes = reply && reply->Status == StatusOk
                         ? platform::readChanges(reply->Body)
                         : std::nullopt;
      if (!changes) {
        co_await sleepFor(Pauses.next(longestPause()));
        continue;
      }
      Pauses.reset();
      AsOf = std::max(AsOf, changes->AsOf);
      changes->AsOf = AsOf;
      What.Changed(*changes);
      if (!following().IsWatcher)
        co_await sleepFor(CatchUpInterval);
    }
  }

  auto takeConfiguration(StoredObject const &Object) -> void {
    if (Object.Name != platform::ConfigurationName)
      return;
    if (auto content = platform::readConfiguration(Object))
      Owner.feed(
          relay::ConfigurationReceived{std::move(content), Object.Revision});
  }

  auto followConfiguration() -> Awaitable<void> {
    return follow(
        {platform::ConfigurationKind,
         [this](std::vector<StoredObject> const &Objects, std::uint64_t AsOf) {
           for (auto const &it : Objects)
             takeConfiguration(it);
           Owner.feed(relay::ConfigurationConfirmed{AsOf});
         },
         [this](StoreChanges const &Given) {
           // Versions replace each other whole, so only the last one counts.
           for (auto it = Given.Changes.rbegin(); it != Given.Changes.rend();
                ++it) {
             if (it->IsRemoved ||
                 it->Object.Name != platform::ConfigurationName)
               continue;
             takeConfiguration(it->Object);
             break;
           }
           Owner.feed(relay::ConfigurationConfirmed{Given.AsOf});
         },
         &relay::StoreWatch::needsConfiguration,
         &relay::StoreWatch::ConfigurationAsOf});
  }

  static auto readUpdate(platform::StoreChange const &Change)
      -> relay::ServerUpdate {
    auto const &object = Change.Object;
    // An entry that cannot be read names no server to use.
    return {object.Name, object.Revision,
            Change.IsRemoved ? std::nullopt : platform::readServer(object)};
  }

  auto followServers() -> Awaitable<void> {
    return follow(
        {platform::ServerKind,
         [this](std::vector<StoredObject> const &Objects, std::uint64_t AsOf) {
           auto listed = relay::ServersListed{{}, AsOf};
           for (auto const &it : Objects) {
             if (auto server = platform::readServer(it))
               listed.Servers.push_back(std::move(*server));
           }
           Owner.feed(std::move(listed));
         },
         [this](StoreChanges const &Given) {
           auto updated = relay::ServersUpdated{{}, Given.AsOf};
           for (auto const &it : Given.Changes)
             updated.Updates.push_back(readUpdate(it));
           Owner.feed(std::move(updated));
         },
         &relay::StoreWatch::needsServers, &relay::StoreWatch::ServersAsOf});
  }

  /// Creates or replaces this instance's own record.
  auto registerSelf(Line &Over) -> Awaitable<bool> {
    auto body = platform::writePeer(Record);
    auto request = HttpRequest{"POST",
                               platform::listPath(platform::InstanceKind, ""),
                               "application/json",
                               {},
                               body};
    auto reply = co_await call(Over, request, CallTimeout);
    if (reply && reply->Status == StatusConflict) {
      request.Method = "PUT";
      request.Target =
          platform::objectPath(platform::InstanceKind, Record.Instance);
      reply = co_await call(Over, request, CallTimeout);
    }
    auto status = reply ? reply->Status : 0;
    auto isDone = status == StatusOk || status == StatusCreated;
    log(isDone ? LogLevel::Info : LogLevel::Warning, "instance-registered",
        {{"done", isDone}, {"status", status}});
    co_return isDone;
  }

  auto followPeers() -> Awaitable<void> {
    auto line = Line{};
    auto backoff = Backoff{};
    while (!co_await registerSelf(line))
      co_await sleepFor(backoff.next(LongestPause));
    backoff.reset();
    // Later lists only find instances whose reports were all lost.
    for (auto wanted = Freshness::Current;; wanted = Freshness::Stale) {
      auto objects = std::vector<StoredObject>{};
      if (!co_await list(line, platform::InstanceKind, objects, wanted)) {
        co_await sleepFor(backoff.next(LongestPause));
        continue;
      }
      backoff.reset();
      auto listed = relay::PeersListed{};
      for (auto const &it : objects) {
        if (auto peer = platform::readPeer(it))
          listed.Peers.push_back(std::move(*peer));
      }
      Owner.feed(std::move(listed));
      co_await sleepFor(PeerListInterval);
    }
  }

  auto readAuthority() -> Awaitable<void> {
    auto path =
        platform::objectPath(platform::AuthorityKind, platform::AuthorityName);
    auto request = HttpRequest{"GET", std::move(path), "", {}, ""};
    auto line = Line{};
    auto reply = co_await call(line, request, CallTimeout);
    if (reply && reply->Status == StatusNotFound)
      co_return Owner.feed(relay::LeaseRead{true, 0, ""});
    auto read = relay::LeaseRead{};
    if (reply && reply->Status == StatusOk)
      read = platform::readAuthority(reply->Body);
    Owner.feed(std::move(read));
  }

  auto writeAuthority(relay::WriteLease What) -> Awaitable<void> {
    auto isNew = What.ExpectedRevision == 0;
    auto body = platform::writeAuthority(What.Holder, What.ExpectedRevision);
    auto request =
        HttpRequest{isNew ? "POST" : "PUT",
                    isNew ? platform::listPath(platform::AuthorityKind, "")
                          : platform::objectPath(platform::AuthorityKind,
                                                 platform::AuthorityName),
                    "application/json",
                    {},
                    body};
    auto line = Line{};
    auto validUntil = bootTime() + AuthorityValidity;
    auto reply = co_await call(line, request, CallTimeout);
    auto status = reply ? reply->Status : 0;
    auto written = relay::LeaseWritten{};
    if (status == StatusOk || status == StatusCreated) {
      auto read = platform::readAuthority(reply->Body);
      written = {read.IsRead, read.Revision, validUntil};
    }
    Owner.feed(written);
  }

  static constexpr auto StatusGone = 410U;
  static constexpr auto StatusNotFound = 404U;
  /// Orders follow a write within this time, counted from before it was sent.
  static constexpr auto AuthorityValidity = Duration{1s};

  asio::io_context &Context; // NOLINT: outlives the follower
  std::string Address;
  relay::PeerRecord Record;
  RelayLoop &Owner; // NOLINT
};

StoreFollower::StoreFollower(asio::io_context &Context, std::string Address,
                             relay::PeerRecord Self, RelayLoop &Owner)
    : Self(std::make_shared<Implementation>(Context, std::move(Address),
                                            std::move(Self), Owner)) {}

StoreFollower::~StoreFollower() = default;

auto StoreFollower::start() -> void {
  spawnTask(Self->Context,
            [self = Self] { return self->followConfiguration(); });
  spawnTask(Self->Context, [self = Self] { return self->followServers(); });
  spawnTask(Self->Context, [self = Self] { return self->followPeers(); });
}

auto StoreFollower::run(relay::ReadLease const & /*What*/) -> void {
  spawnTask(Self->Context, [self = Self] { return self->readAuthority(); });
}

auto StoreFollower::run(relay::WriteLease const &What) -> void {
  spawnTask(Self->Context,
            [self = Self, What] { return self->writeAuthority(What); });
}

} // namespace dotterel
