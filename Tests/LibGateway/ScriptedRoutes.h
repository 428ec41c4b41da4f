/// \file
/// A configuration with one route of each kind, for servers whose responses are
/// scripted.
#pragma once

#include "LibGateway/KeepAliveServer.h"
#include "LibGateway/RunningGateway.h"

#include <functional>
#include <string_view>
#include <vector>

namespace dotterel::test {

inline constexpr auto SecondScriptedPort = 21749;

/// Names of the routes, which are also the first segments of their paths.
inline constexpr auto Bookings = "once";
inline constexpr auto Lookups = "lookup";
inline constexpr auto Streams = "stream";
inline constexpr auto ResumableStreams = "resumable";
inline constexpr auto AllRoutes = {Bookings, Lookups, Streams,
                                   ResumableStreams};

[[nodiscard]] auto isStream(std::string_view Route) -> bool;

/// Returns what prepares a gateway whose service has servers at \p Ports and
/// \p ServiceFields, and whose routes may try \p MaximumServers.
[[nodiscard]] auto prepareRoutes(std::vector<int> const &Ports,
                                 unsigned MaximumServers = 2,
                                 std::string const &ServiceFields = "")
    -> std::function<void(FakePlatform &)>;

/// Returns the body of a successful response: two events on routes of streams.
[[nodiscard]] auto successBody(std::string_view Route) -> std::string_view;

/// Returns the header section of a response up to the fields that tell how its
/// body is framed.
[[nodiscard]] auto successHead(std::string_view Route,
                               std::string_view StatusLine = "HTTP/1.1 200 OK")
    -> std::string;

/// Returns a complete response.
[[nodiscard]] auto success(std::string_view Route) -> ScriptedResponse;

} // namespace dotterel::test
