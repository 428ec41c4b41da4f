/// \file
/// A fake of the platform that implements its published protocol: a store with
/// one service, one server and a configuration.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace dotterel::test {

/// How the server responds.
enum class ServerMode {
  Echo,
  /// Streams three events.
  Stream,
  /// Streams two events, then closes the connection in the middle of a third.
  TruncatedStream,
  /// Sends a response to another request before the right one.
  StaleResponse,
  /// Closes the connection without a response.
  Close,
  Refuse,
  /// Responds normally and announces that it is leaving.
  Leave,
  /// Refuses, and asks for a pause of an hour.
  Pause,
  /// Responds normally and names a limit of two requests a second.
  Limit,
};

/// Returns the text of an object of the store. Its revision is filled in when
/// it is put. \p Name and \p Spec are inserted as they are.
[[nodiscard]] auto objectText(std::string_view Name, std::string_view Spec)
    -> std::string;

/// Runs the store and the server on a thread of their own until destroyed.
class FakePlatform {
public:
  /// Announces a server at \p ServerAddress, or its own if that is empty.
  explicit FakePlatform(std::string ServerAddress = {});
  ~FakePlatform();
  FakePlatform(FakePlatform const &) = delete;
  auto operator=(FakePlatform const &) -> FakePlatform & = delete;

  auto setMode(ServerMode Mode) -> void;
  /// Marks the server as draining in the store.
  auto drainServer() -> void;
  /// Restores the store from a copy that was made at the start. Its era rises
  /// by one, and revisions are assigned again.
  auto restoreStore() -> void;

  /// Creates or replaces the object \p Name; the store sends \p Text as it is.
  auto putObject(std::string const &Kind, std::string const &Name,
                 std::string Text) -> void;
  /// Sets the number of objects in one page of a list.
  auto setPageSize(std::size_t Objects) -> void;

  /// Adds an object of the kind that names segments in quarantine.
  auto addQuarantine(std::string const &Name) -> void;
  /// Returns the names of the objects of that kind.
  [[nodiscard]] auto quarantine() const -> std::set<std::string>;

  [[nodiscard]] auto storeAddress() const -> std::string;
  /// Number of times that an instance has registered.
  [[nodiscard]] auto registrations() const -> unsigned;
  /// Number of requests that the server has received.
  [[nodiscard]] auto served() const -> unsigned;
  /// The header fields of the last request, one per line.
  [[nodiscard]] auto lastFields() const -> std::string;

private:
  struct Implementation;
  std::unique_ptr<Implementation> Impl;
};

} // namespace dotterel::test
