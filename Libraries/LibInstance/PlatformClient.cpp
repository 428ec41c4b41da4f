#include "LibInstance/PlatformClient.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibNet/HttpClient.h"
#include "LibNet/Task.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

constexpr auto RequestTimeout = Duration{2s};
constexpr auto WatchDuration = Duration{5s};
constexpr auto StatusNotModified = 304U;
constexpr auto StatusNotFound = 404U;
constexpr auto StatusConflict = 412U;
constexpr auto StatusOk = 200U;

auto objectFrom(HttpResponse const &Response) -> std::optional<StoredObject> {
  auto body = json::parse(Response.Body, nullptr, false);
  if (!body.is_object() || !body.contains("version") ||
      !body.at("version").is_number_unsigned())
    return std::nullopt;
  return StoredObject{body.at("version").get<std::uint64_t>(),
                      body.value("body", "")};
}

auto instancesFrom(HttpResponse const &Response)
    -> std::vector<ListedInstance> {
  auto instances = std::vector<ListedInstance>{};
  auto body = json::parse(Response.Body);
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
      std::move(Address), {"GET", std::move(Path), "", {}, ""}, RequestTimeout);
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
  auto result = co_await exchange(std::move(Address), request, RequestTimeout);
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
                               ControlLoop &Loop)
    : Context(Context), Address(std::move(Address)), Loop(Loop) {}

auto PlatformClient::run(ReadShard const &Effect) -> void {
  spawnTask(Context, "shard-reader",
            [this, shard = Effect.Shard] { return readShard(shard); });
}

auto PlatformClient::run(WriteShard const &Effect) -> void {
  spawnTask(Context, "shard-writer",
            [this, Effect] { return writeShard(Effect); });
}

auto PlatformClient::run(ReadClaim const &Effect) -> void {
  spawnTask(Context, "claim-reader",
            [this, Effect] { return readClaim(Effect); });
}

auto PlatformClient::run(WriteClaim const &Effect) -> void {
  spawnTask(Context, "claim-writer",
            [this, Effect] { return writeClaim(Effect); });
}

auto PlatformClient::run(WatchConfiguration const &Effect) -> void {
  spawnTask(Context, "configuration-watch",
            [this, after = Effect.After] { return watchConfiguration(after); });
}

auto PlatformClient::run(ListInstances const & /*Effect*/) -> void {
  spawnTask(Context, "instance-lister", [this] { return listInstances(); });
}

auto PlatformClient::readShard(ShardName Shard) -> Awaitable<void> {
  auto object = co_await readObject(Address, shardPath(Shard));
  if (!object)
    co_return Loop.feed(ShardReadFailed{Shard});
  if (object->Version == 0)
    co_return Loop.feed(ShardRead{Shard, 0, {}});
  auto record = decodeShardRecord(object->Body);
  if (!record)
    co_return Loop.feed(ShardReadFailed{Shard});
  Loop.feed(ShardRead{Shard, object->Version, std::move(*record)});
}

auto PlatformClient::writeShard(WriteShard Effect) -> Awaitable<void> {
  auto written = co_await writeObject(Address, shardPath(Effect.Shard),
                                      Effect.ExpectedVersion,
                                      encodeShardRecord(Effect.Record));
  Loop.feed(ShardWritten{Effect.Shard, Effect.Record.WriteNumber,
                         written.Result, written.Object.Version});
}

auto PlatformClient::readClaim(ReadClaim Effect) -> Awaitable<void> {
  auto object = co_await readObject(Address, claimPath(Effect.Name));
  if (!object)
    co_return Loop.feed(ClaimReadFailed{Effect.Call});
  if (object->Version == 0)
    co_return Loop.feed(ClaimRead{Effect.Call, 0, {}});
  auto record = decodeClaimRecord(object->Body);
  if (!record)
    co_return Loop.feed(ClaimReadFailed{Effect.Call});
  Loop.feed(ClaimRead{Effect.Call, object->Version, std::move(*record)});
}

auto PlatformClient::writeClaim(WriteClaim Effect) -> Awaitable<void> {
  auto written = co_await writeObject(Address, claimPath(Effect.Name),
                                      Effect.ExpectedVersion,
                                      encodeClaimRecord(Effect.Record));
  Loop.feed(ClaimWritten{Effect.Call, written.Result, written.Object.Version});
}

auto PlatformClient::watchConfiguration(Revision After) -> Awaitable<void> {
  auto target = fmt::format("{}?after={}&waitMs={}", ConfigurationPath, After,
                            toMilliseconds(WatchDuration));
  auto result = co_await exchange(Address, {"GET", target, "", {}, ""},
                                  WatchDuration + RequestTimeout);
  auto isReachable =
      result.Response && (result.Response->Status == StatusOk ||
                          result.Response->Status == StatusNotModified ||
                          result.Response->Status == StatusNotFound);
  if (isReachable && result.Response->Status == StatusOk) {
    try {
      if (auto object = objectFrom(*result.Response))
        Loop.feed(ConfigurationReceived{
            FleetConfiguration::compile(object->Body, object->Version)});
    } catch (Error const &error) {
      log(LogLevel::Error, "configuration-invalid", {{"error", error.what()}});
      isReachable = false;
    }
  }
  Loop.feed(ConfigurationWatchEnded{isReachable});
}

auto PlatformClient::listInstances() -> Awaitable<void> {
  auto result = co_await exchange(Address, {"GET", "/instances", "", {}, ""},
                                  RequestTimeout);
  if (!result.Response || result.Response->Status != StatusOk) {
    log(LogLevel::Warning, "instance-list-unavailable",
        {{"status", result.Response ? result.Response->Status : 0U}});
    co_return Loop.feed(InstanceListFailed{});
  }
  try {
    Loop.feed(InstancesListed{instancesFrom(*result.Response)});
  } catch (json::exception const &error) {
    log(LogLevel::Error, "instance-list-invalid", {{"error", error.what()}});
    Loop.feed(InstanceListFailed{});
  }
}

} // namespace dotterel
