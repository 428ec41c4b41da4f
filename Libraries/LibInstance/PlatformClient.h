/// \file
/// The object API and the instance list, over HTTP.
#pragma once

#include "LibControl/Effect.h"
#include "LibInstance/Core.h"
#include "LibNet/Asio.h"

namespace dotterel {

/// An object as stored; Version is zero if it does not exist.
struct StoredObject {
  std::uint64_t Version = 0;
  std::string Body;
};

/// Outcome of a conditional write.
struct ObjectWrite {
  WriteResult Result = WriteResult::Unknown;
  /// The object after the write, or the one that it conflicts with.
  StoredObject Object;
};

/// Reads an object. Returns nothing if the API did not answer.
[[nodiscard]] auto readObject(std::string Address, std::string Path)
    -> Awaitable<std::optional<StoredObject>>;

/// Writes an object if its version is \p ExpectedVersion.
[[nodiscard]] auto writeObject(std::string Address, std::string Path,
                               std::uint64_t ExpectedVersion, std::string Body)
    -> Awaitable<ObjectWrite>;

/// Path of the object that holds the configuration.
inline constexpr auto ConfigurationPath =
    std::string_view{"/objects/configurations/fleet"};

/// Carries out the effects that concern the platform.
/// Thread safety: none; used on one executor.
class PlatformClient {
public:
  PlatformClient(asio::io_context &Context, std::string Address, Core &Owner);

  auto run(ReadShard const &What) -> void;
  auto run(WriteShard const &What) -> void;
  auto run(ReadClaim const &What) -> void;
  auto run(WriteClaim const &What) -> void;
  auto run(WatchConfiguration const &What) -> void;
  auto run(ListInstances const &What) -> void;

private:
  auto readShard(ShardName Shard) -> Awaitable<void>;
  auto writeShard(WriteShard What) -> Awaitable<void>;
  auto readClaim(ReadClaim What) -> Awaitable<void>;
  auto writeClaim(WriteClaim What) -> Awaitable<void>;
  auto watchConfiguration(Revision After) -> Awaitable<void>;
  auto listInstances() -> Awaitable<void>;

  asio::io_context &Context; // NOLINT: outlives the client
  std::string Address;
  Core &Owner; // NOLINT
};

} // namespace dotterel
