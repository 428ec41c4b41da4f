/// \file
/// Strongly typed identifiers: an engine's name cannot be passed where an
/// instance's name is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dotterel {

/// A name whose \p Tag makes names of different kinds distinct types.
/// Thread safety: as std::string.
template <typename Tag> class Identifier {
public:
  Identifier() = default;
  explicit Identifier(std::string Text) : Text(std::move(Text)) {}

  /// Returns the name as written in configuration and on the wire.
  [[nodiscard]] auto text() const -> std::string const & { return Text; }
  [[nodiscard]] auto empty() const -> bool { return Text.empty(); }
  auto operator<=>(Identifier const &) const = default;

private:
  std::string Text;
};

using EngineId = Identifier<struct EngineTag>;
using ServerId = Identifier<struct ServerTag>;
using ServiceName = Identifier<struct ServiceTag>;
using ModelName = Identifier<struct ModelTag>;
using CallerName = Identifier<struct CallerTag>;
using InstanceId = Identifier<struct InstanceTag>;
using FailureDomain = Identifier<struct FailureDomainTag>;
using ShardName = Identifier<struct ShardTag>;
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;

/// Distinguishes the runs of an instance; random, generated at start.
using Incarnation = std::uint64_t;
/// Version of the configuration object; monotonically increasing.
using Revision = std::uint64_t;
/// Number of a call, unique within one incarnation of an instance.
using CallId = std::uint64_t;
/// Fencing number of a shard's lease; monotonically increasing.
using FencingNumber = std::uint64_t;
/// Number of an order to an engine, unique within its shard.
using OrderId = std::uint64_t;

/// Identifies one attempt to serve a call at one backend server.
struct AttemptId {
  CallId Call = 0;
  std::uint32_t Number = 0;
  auto operator<=>(AttemptId const &) const = default;
};

} // namespace dotterel

template <typename Tag> struct std::hash<dotterel::Identifier<Tag>> {
  auto operator()(dotterel::Identifier<Tag> const &Name) const -> std::size_t {
    return std::hash<std::string>{}(Name.text());
  }
};
