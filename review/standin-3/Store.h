/// \file
/// A stand-in for the platform's store, and a proxy for the link between it and
/// one relay.
#pragma once

#include "Wire.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

/// Linearizable objects by kind and name with one revision counter.
class Store {
public:
  /// Starts to listen on a free port of \p Ip.
  explicit Store(std::string const &Ip);

  [[nodiscard]] auto address() const -> Address { return Listening; }

  /// Creates or replaces an object. Returns its revision.
  auto put(std::string const &Kind, std::string const &Name, json Spec)
      -> std::uint64_t;
  /// Replaces the spec without a change of the revision, as a heartbeat does
  /// that changes only the sequence number.
  auto refresh(std::string const &Kind, std::string const &Name, json Spec)
      -> void;
  auto remove(std::string const &Kind, std::string const &Name) -> void;

private:
  struct Object {
    std::uint64_t Revision = 0;
    std::uint64_t Created = 0;
    json Spec;
    json Status;
    json Finalizers = json::array();
  };

  struct Event {
    std::uint64_t Revision = 0;
    std::string Kind;
    json Content;
  };

  [[nodiscard]] static auto describe(std::string const &Name,
                                     Object const &Target) -> json;
  auto record(std::string const &Kind, std::string const &Name,
              Object const &Target, bool IsRemoved) -> void;
  auto serve(Socket Connection) -> void;
  [[nodiscard]] auto answer(Message const &Request)
      -> std::pair<int, std::string>;
  [[nodiscard]] auto list(Message const &Request, std::string const &Kind)
      -> std::string;
  [[nodiscard]] auto watch(Message const &Request, std::string const &Kind)
      -> std::pair<int, std::string>;
  [[nodiscard]] auto change(Message const &Request, std::string const &Kind,
                            std::string const &Name)
      -> std::pair<int, std::string>;

  Address Listening;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 100;
  std::map<std::string, std::map<std::string, Object>> Objects;
  std::vector<Event> History;
};

/// Passes bytes between a relay and the store. The segment that carries an
/// awaited text can be delayed like one that is lost once and sent again.
class StoreLink {
public:
  StoreLink(std::string const &Ip, Address Target);

  [[nodiscard]] auto address() const -> Address { return Listening; }

  /// Delays the next segment from the store that contains \p Text.
  auto delayNext(std::string Text, std::int64_t Ms) -> void;
  /// Returns the time at which the last delay ended, or -1.
  [[nodiscard]] auto lastDelayEnd() const -> std::int64_t;
  /// Numbers of segments from the store, and of those that were delayed.
  [[nodiscard]] auto counts() const -> std::pair<int, int>;

private:
  auto pass(Socket const &From, Socket const &To, bool IsFromStore) -> void;

  Address Listening;
  Address Target;
  mutable std::mutex Mutex;
  std::string Awaited;
  std::int64_t DelayMs = 0;
  std::int64_t DelayEnd = -1;
  int Segments = 0;
  int Delayed = 0;
};

} // namespace review
