/// \file
/// HTTP client of the platform's object API and instance list.
#pragma once

#include "LibControl/Effect.h"
#include "LibInstance/ControlLoop.h"
#include "LibNet/Asio.h"

namespace dotterel {

/// A stored object; Version is zero if it does not exist.
struct StoredObject {
  std::uint64_t Version = 0;
  std::string Body;
};

/// Result of a conditional write.
struct ObjectWrite {
  WriteResult Result = WriteResult::Unknown;
  /// The object after the write, or the one that it conflicts with.
  StoredObject Object;
};

/// Reads an object. Returns std::nullopt if the API sent no valid response.
[[nodiscard]] auto readObject(std::string Address, std::string Path)
    -> Awaitable<std::optional<StoredObject>>;

/// Writes an object if its version is \p ExpectedVersion; zero means that it
/// must not exist.
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
  PlatformClient(asio::io_context &Context, std::string Address,
                 ControlLoop &Loop);

  auto run(ReadShard const &Effect) -> void;
  auto run(WriteShard const &Effect) -> void;
  auto run(ReadClaim const &Effect) -> void;
  auto run(WriteClaim const &Effect) -> void;
  auto run(WatchConfiguration const &Effect) -> void;
  auto run(ListInstances const &Effect) -> void;

private:
  auto readShard(ShardName Shard) -> Awaitable<void>;
  auto writeShard(WriteShard Effect) -> Awaitable<void>;
  auto readClaim(ReadClaim Effect) -> Awaitable<void>;
  auto writeClaim(WriteClaim Effect) -> Awaitable<void>;
  auto watchConfiguration(Revision After) -> Awaitable<void>;
  auto listInstances() -> Awaitable<void>;

  asio::io_context &Context; // NOLINT: outlives the client
  std::string Address;
  ControlLoop &Loop; // NOLINT
};

} // namespace dotterel
