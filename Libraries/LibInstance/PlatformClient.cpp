#include "LibInstance/PlatformClient.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibNet/HttpClient.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

constexpr auto CallTimeout = Duration{2s};
constexpr auto WatchSpan = Duration{5s};
constexpr auto StatusNotModified = 304U;
constexpr auto StatusNotFound = 404U;
constexpr auto StatusConflict = 412U;
constexpr auto StatusOk = 200U;

auto objectFrom(HttpResponse const &Reply) -> std::optional<StoredObject> {
  auto body = json::parse(Reply.Body, nullptr, false);
  if (!body.is_object() || !body.contains("version") ||
      !body.at("version").is_number_unsigned())
    return std::nullopt;
  return StoredObject{body.at("version").get<std::uint64_t>(),
                      body.value("body", "")};
}

auto instancesFrom(HttpResponse const &Reply) -> std::vector<ListedInstance> {
  auto instances = std::vector<ListedInstance>{};
  auto body = json::parse(Reply.Body);
  for (auto const &it : body.at("instances"))
    instances.push_back(
        {InstanceId(it.at("id").get<std::string>()),
         it.at("callerAddress").get<std::string>(),
         it.at("peerAddress").get<std::string>(),
         FailureDomain(it.at("failureDomain").get<std::string>()),
         it.at("leaving").get<bool>()});
  return instances;
}

auto shardPath(ShardName const &Shard) -> std::string {
  return "/objects/shards/" + Shard.text();
}

auto claimPath(std::string const &Name) -> std::string {
  return "/objects/claims/" + Name;
}

} // namespace

auto readObject(std::string Address, std::string Path)
    -> Awaitable<std::optional<StoredObject>> {
  auto result = co_await exchange(
      std::move(Address), {"GET", std::move(Path), "", {}, ""}, CallTimeout);
  if (!result.Response)
    co_return std::nullopt;
  if (result.Response->Status == StatusNotFound)
    co_return StoredObject{};
  if (result.Response->Status != StatusOk)
    co_return std::nullopt;
  co_return objectFrom(*result.Response);
}

auto writeObject(std::string Address, std::string Path,
                 std::uint64_t ExpectedVersion, std::string Body)
    -> Awaitable<ObjectWrite> {
  auto request = HttpRequest{"PUT",
                             std::move(Path),
                             "application/json",
                             {{"If-Match", fmt::format("{}", ExpectedVersion)}},
                             Body};
  auto result = co_await exchange(std::move(Address), request, CallTimeout);
  if (!result.Response)
    co_return ObjectWrite{};
  auto object = objectFrom(*result.Response);
  if (!object)
    co_return ObjectWrite{};
  if (result.Response->Status == StatusOk)
    co_return ObjectWrite{WriteResult::Committed, std::move(*object)};
  if (result.Response->Status == StatusConflict)
    co_return ObjectWrite{WriteResult::Conflict, std::move(*object)};
  co_return ObjectWrite{};
}

PlatformClient::PlatformClient(asio::io_context &Context, std::string Address,
                               Core &Owner)
    : Context(Context), Address(std::move(Address)), Owner(Owner) {}

auto PlatformClient::run(ReadShard const &What) -> void {
  spawnTask(Context, [this, shard = What.Shard] { return readShard(shard); });
}

auto PlatformClient::run(WriteShard const &What) -> void {
  spawnTask(Context, [this, What] { return writeShard(What); });
}

auto PlatformClient::run(ReadClaim const &What) -> void {
  spawnTask(Context, [this, What] { return readClaim(What); });
}

auto PlatformClient::run(WriteClaim const &What) -> void {
  spawnTask(Context, [this, What] { return writeClaim(What); });
}

auto PlatformClient::run(WatchConfiguration const &What) -> void {
  spawnTask(Context,
            [this, after = What.After] { return watchConfiguration(after); });
}

auto PlatformClient::run(ListInstances const & /*What*/) -> void {
  spawnTask(Context, [this] { return listInstances(); });
}

auto PlatformClient::readShard(ShardName Shard) -> Awaitable<void> {
  auto object = co_await readObject(Address, shardPath(Shard));
  if (!object)
    co_return Owner.feed(ShardReadFailed{Shard});
  if (object->Version == 0)
    co_return Owner.feed(ShardRead{Shard, 0, {}});
  auto record = decodeShardRecord(object->Body);
  if (!record)
    co_return Owner.feed(ShardReadFailed{Shard});
  Owner.feed(ShardRead{Shard, object->Version, std::move(*record)});
}

auto PlatformClient::writeShard(WriteShard What) -> Awaitable<void> {
  auto written =
      co_await writeObject(Address, shardPath(What.Shard), What.ExpectedVersion,
                           encodeShardRecord(What.Record));
  Owner.feed(ShardWritten{What.Shard, What.Record.WriteNumber, written.Result,
                          written.Object.Version});
}

auto PlatformClient::readClaim(ReadClaim What) -> Awaitable<void> {
  auto object = co_await readObject(Address, claimPath(What.Name));
  if (!object)
    co_return Owner.feed(ClaimReadFailed{What.Call});
  if (object->Version == 0)
    co_return Owner.feed(ClaimRead{What.Call, 0, {}});
  auto record = decodeClaimRecord(object->Body);
  if (!record)
    co_return Owner.feed(ClaimReadFailed{What.Call});
  Owner.feed(ClaimRead{What.Call, object->Version, std::move(*record)});
}

auto PlatformClient::writeClaim(WriteClaim What) -> Awaitable<void> {
  auto written =
      co_await writeObject(Address, claimPath(What.Name), What.ExpectedVersion,
                           encodeClaimRecord(What.Record));
  Owner.feed(ClaimWritten{What.Call, written.Result, written.Object.Version});
}

auto PlatformClient::watchConfiguration(Revision After) -> Awaitable<void> {
  auto target = fmt::format("{}?after={}&waitMs={}", ConfigurationPath, After,
                            toMilliseconds(WatchSpan));
  auto result = co_await exchange(Address, {"GET", target, "", {}, ""},
                                  WatchSpan + CallTimeout);
  auto isReachable =
      result.Response && (result.Response->Status == StatusOk ||
                          result.Response->Status == StatusNotModified ||
                          result.Response->Status == StatusNotFound);
  if (isReachable && result.Response->Status == StatusOk) {
    try {
      if (auto object = objectFrom(*result.Response))
        Owner.feed(ConfigurationReceived{
            FleetConfiguration::compile(object->Body, object->Version)});
    } catch (Error const &problem) {
      log(LogLevel::Error, "configuration-invalid",
          {{"problem", problem.what()}});
      isReachable = false;
    }
  }
  Owner.feed(ConfigurationWatchEnded{isReachable});
}

auto PlatformClient::listInstances() -> Awaitable<void> {
  auto result = co_await exchange(Address, {"GET", "/instances", "", {}, ""},
                                  CallTimeout);
  if (!result.Response || result.Response->Status != StatusOk) {
    log(LogLevel::Warning, "instance-list-unavailable",
        {{"status", result.Response ? result.Response->Status : 0U}});
    co_return Owner.feed(InstanceListFailed{});
  }
  try {
    Owner.feed(InstancesListed{instancesFrom(*result.Response)});
  } catch (json::exception const &problem) {
    log(LogLevel::Error, "instance-list-invalid",
        {{"problem", problem.what()}});
    Owner.feed(InstanceListFailed{});
  }
}

} // namespace dotterel
