#include "LibGateway/ScriptedRoutes.h"

#include <fmt/format.h>

namespace dotterel::test {

namespace {

auto route(std::string_view Name, std::string_view Kind, bool IsResumable,
           unsigned MaximumServers) -> std::string {
  return fmt::format(
      R"({{"name":"{0}","host":"h.example","path_prefix":"/{0}/","kind":"{1}",)"
      R"("timeout_ms":2000,"target_latency_ms":300,"service":"s1",)"
      R"("max_attempts":{3},"target_gap_ms":200,"resumable":{2}}})",
      Name, Kind, IsResumable, MaximumServers);
}

} // namespace

auto isStream(std::string_view Route) -> bool {
  return Route == Streams || Route == ResumableStreams;
}

auto prepareRoutes(std::vector<int> const &Ports, unsigned MaximumServers,
                   std::string const &ServiceFields)
    -> std::function<void(FakePlatform &)> {
  return [Ports, MaximumServers, ServiceFields](FakePlatform &Platform) {
    Platform.putObject(
        "config", "main",
        objectText(
            "main",
            fmt::format(
                R"({{"version":4,"routes":[{},{},{},{}],)"
                R"("limits":{{"max_body_bytes":33554432}},)"
                R"("services":[{{"name":"s1","max_conns":100{}}}]}})",
                route(Bookings, "non_idempotent", false, MaximumServers),
                route(Lookups, "idempotent", false, MaximumServers),
                route(Streams, "streaming", false, MaximumServers),
                route(ResumableStreams, "streaming", true, MaximumServers),
                ServiceFields)));
    auto n = 1;
    for (auto it : Ports) {
      auto const name = fmt::format("i-{}", n++);
      Platform.putObject(
          "servers", name,
          objectText(name, fmt::format(R"({{"service":"s1","address":"{}",)"
                                       R"("zone":"z1","slots":6,)"
                                       R"("state":"ready","born":1000}})",
                                       address(it))));
    }
  };
}

auto successBody(std::string_view Route) -> std::string_view {
  return isStream(Route) ? "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n" : "done";
}

auto successHead(std::string_view Route, std::string_view StatusLine)
    -> std::string {
  return fmt::format("{}\r\nContent-Type: {}\r\n"
                     "Attempt-Id: @ID\r\nServer-Seal: s\r\n",
                     StatusLine,
                     isStream(Route) ? "text/event-stream" : "text/plain");
}

auto success(std::string_view Route) -> ScriptedResponse {
  auto const body = successBody(Route);
  return {fmt::format("{}Content-Length: {}\r\n\r\n{}", successHead(Route),
                      body.size(), body)};
}

} // namespace dotterel::test
