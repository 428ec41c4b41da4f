/// \file
/// Objects of the store and datagrams that cannot be read must neither end an
/// instance nor hide what stands beside them.
#include "LibGateway/RunningGateway.h"
#include "LibRelay/Peers.h"

#include <boost/asio/ip/udp.hpp>
#include <fmt/format.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

/// An object of the store that describes nothing usable.
struct MalformedObject {
  std::string Name;
  std::string Text;
};

/// Returns an array that is nested \p Depth times.
auto nested(std::size_t Depth) -> std::string {
  return std::string(Depth, '[') + std::string(Depth, ']');
}

/// Returns the spec of a server whose \p Field has the text \p Value; without
/// the field if the value is empty.
auto serverSpec(std::string_view Field, std::string_view Value) -> std::string {
  auto fields = std::map<std::string, std::string, std::less<>>{
      {"service", R"("s1")"},  {"address", R"("127.0.0.1:21742")"},
      {"zone", R"("z1")"},     {"slots", "6"},
      {"state", R"("ready")"}, {"born", "1000"}};
  fields[std::string(Field)] = Value;
  auto text = std::string{};
  for (auto const &it : fields) {
    if (!it.second.empty())
      text += fmt::format(R"({}"{}":{})", text.empty() ? "" : ",", it.first,
                          it.second);
  }
  return "{" + text + "}";
}

/// Returns the values that no field of an entry has: of other types, sizes and
/// depths, out of range, or with bytes that are no text.
auto malformedValues() -> std::vector<std::string> {
  return {"null",
          "true",
          "-1",
          "1.5e300",
          "1e999",
          "99999999999999999999999",
          "{}",
          nested(100000),
          "\"\"",
          "\"a\\u0000b\"",
          "\"\xff\xfe\"",
          "\"x\\r\\nX-Injected: 1\"",
          fmt::format("\"{}\"", std::string(100000, 'x'))};
}

/// Returns entries of servers that cannot be used. All have a name.
auto namedMalformedServers() -> std::vector<MalformedObject> {
  auto objects = std::vector<MalformedObject>{};
  auto addSpec = [&](std::string const &Spec) {
    auto name = fmt::format("bad-{}", objects.size());
    objects.push_back({name, objectText(name, Spec)});
  };
  for (auto const *field : {"service", "address", "zone", "slots", "state"}) {
    addSpec(serverSpec(field, ""));
    for (auto const &it : malformedValues()) {
      // A zone or a service may have any name.
      auto isName = std::string_view(field) == "zone" ||
                    std::string_view(field) == "service";
      if (!isName || !it.starts_with("\"xxx"))
        addSpec(serverSpec(field, it));
    }
  }
  for (auto const *value :
       {"-1", "1.5e300", "1e999", "\"x\"", "{}", "18446744073709551616"})
    addSpec(serverSpec("born", value));
  for (auto const *address :
       {"127.0.0.1:65536", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:0",
        "127.0.0.1:", "127.0.0.1", ":21742", "host:21742", "999.0.0.1:80",
        "127.0.0.1:21742 ", "127.0.0.1:21742/x"})
    addSpec(serverSpec("address", fmt::format("\"{}\"", address)));
  for (auto const &it : malformedValues())
    addSpec(it);
  addSpec(serverSpec("more", nested(100000)));
  for (auto const &it : malformedValues()) {
    auto name = fmt::format("bad-{}", objects.size());
    objects.push_back(
        {name, fmt::format(
                   R"({{"metadata":{{"name":"{}","revision":{}}},"spec":{}}})",
                   name, it, serverSpec("zone", R"("z1")"))});
  }
  return objects;
}

/// Returns the same and entries without a name.
auto malformedServers() -> std::vector<MalformedObject> {
  auto objects = namedMalformedServers();
  auto add = [&](std::string const &Text) {
    objects.push_back({fmt::format("bad-{}", objects.size()), Text});
  };
  auto const spec = serverSpec("zone", R"("z1")");
  for (auto const &it : malformedValues()) {
    add(it);
    add(fmt::format(R"({{"metadata":{},"spec":{}}})", it, spec));
    add(fmt::format(R"({{"metadata":{{"name":{},"revision":5}},"spec":{}}})",
                    it, spec));
  }
  return objects;
}

auto isServed(RunningGateway &Gateway) -> bool {
  return status(Gateway.request("once")) == 200;
}

/// Returns whether \p Predicate holds within some seconds.
template <typename Predicate> auto becomes(Predicate IsMet) -> bool {
  for (auto n = 0; n < 150; ++n) {
    if (IsMet())
      return true;
    std::this_thread::sleep_for(20ms);
  }
  return false;
}

/// Checks that the gateway serves and still learns of changes of the list of
/// servers.
auto assertFollows(RunningGateway &Gateway) -> void {
  for (auto n = 0; n < 8; ++n)
    cr_assert(isServed(Gateway));
  Gateway.Platform.drainServer();
  cr_assert(becomes([&] { return status(Gateway.request("once")) == 503; }));
}

auto sendDatagram(std::string const &Bytes) -> void {
  using asio::ip::udp;
  auto context = asio::io_context{1};
  auto socket = udp::socket(context, udp::v4());
  socket.send_to(asio::buffer(Bytes),
                 {asio::ip::make_address("127.0.0.1"), PeerPort});
}

/// Returns a report of a sound peer.
auto peerReport() -> relay::PeerReport {
  auto report = relay::PeerReport{};
  report.Instance = "i9";
  report.Incarnation = 7;
  report.SequenceNumber = 1;
  report.CallerAddress = "127.0.0.1:9";
  report.IsFull = true;
  report.IsReady = true;
  return report;
}

auto isSteering() -> bool {
  return status(get(DirectoryPort, "/-/resolve?name=x")) == 200;
}

} // namespace

Test(MalformedInput, ListedServerEntriesAffectNoOthers) {
  auto gateway = RunningGateway("", [](FakePlatform &Platform) {
    for (auto const &it : malformedServers())
      Platform.putObject("servers", it.Name, it.Text);
  });
  assertFollows(gateway);
}

// Whole pages consist of entries that cannot be read.
Test(MalformedInput, PagesOfUnreadableEntriesDoNotEndTheList) {
  auto gateway = RunningGateway("", [](FakePlatform &Platform) {
    Platform.setPageSize(3);
    for (auto const &it : namedMalformedServers())
      Platform.putObject("servers", "a-" + it.Name, [&] {
        auto text = it.Text;
        return text.replace(text.find("bad-"), 4, "a-bad-");
      }());
  });
  assertFollows(gateway);
}

Test(MalformedInput, WatchedServerEntriesAffectNoOthers) {
  auto gateway = RunningGateway();
  for (auto const &it : malformedServers()) {
    gateway.Platform.putObject("servers", it.Name, it.Text);
    cr_assert(isServed(gateway), "%s", it.Text.substr(0, 300).c_str());
  }
  assertFollows(gateway);
}

// One response of the store with all the malformed entries between two sound
// ones.
Test(MalformedInput, BatchWithUnreadableEntriesIsRead) {
  auto gateway = RunningGateway();
  for (auto const &it : malformedServers())
    gateway.Platform.putObject("servers", it.Name, it.Text);
  assertFollows(gateway);
}

Test(MalformedInput, EntryThatBecomesMalformedNamesNoServer) {
  auto gateway = RunningGateway();
  auto const sound = serverSpec("zone", R"("z1")");
  for (auto const &spec :
       {serverSpec("address", R"("127.0.0.1:99999")"),
        serverSpec("slots", "1e999"), serverSpec("zone", nested(100000)),
        serverSpec("state", "\"\xff\""), std::string("null")}) {
    gateway.Platform.putObject("servers", "i-1", objectText("i-1", spec));
    cr_assert(becomes([&] { return status(gateway.request("once")) == 503; }));
    gateway.Platform.putObject("servers", "i-1", objectText("i-1", sound));
    cr_assert(becomes([&] { return isServed(gateway); }));
  }
}

Test(MalformedInput, InstanceRecordsAffectNoOthers) {
  auto gateway = RunningGateway("", [](FakePlatform &Platform) {
    auto n = 0;
    auto add = [&](std::string const &Spec) {
      auto name = fmt::format("bad-{}", n++);
      Platform.putObject("instances", name, objectText(name, Spec));
    };
    for (auto const &it : malformedValues()) {
      add(it);
      add(fmt::format(R"({{"peerAddress":{}}})", it));
    }
    for (auto const *address : {"127.0.0.1:99999", "127.0.0.1:0", "x", "a:1"})
      add(fmt::format(R"({{"peerAddress":"{}"}})", address));
  });
  cr_assert(becomes(isSteering));
  // Reports are sent to the peers each 100 ms.
  std::this_thread::sleep_for(400ms);
  cr_assert(isSteering());
  assertFollows(gateway);
}

Test(MalformedInput, DatagramsAffectNoOthers) {
  auto gateway = RunningGateway();
  cr_assert(becomes(isSteering));
  sendDatagram("");
  sendDatagram("no report");
  for (auto const *open : {"\x81", "\xa1\x01", "\x9f", "\xc1", "\xd8\x20"}) {
    auto bytes = std::string{};
    while (bytes.size() + 2 < 16000)
      bytes += open;
    sendDatagram(bytes + "\x01");
  }
  sendDatagram(std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9));
  auto number = std::uint64_t{1};
  auto send = [&](auto Change) {
    auto report = peerReport();
    report.SequenceNumber = number++;
    Change(report);
    sendDatagram(relay::encodePeerReport(report));
    std::this_thread::sleep_for(20ms);
    cr_assert(isSteering(), "report %d", static_cast<int>(number));
  };
  using Report = relay::PeerReport;
  auto const notANumber = std::numeric_limits<double>::quiet_NaN();
  auto const huge = std::numeric_limits<std::uint64_t>::max();
  send([](Report &it) { it.CallerAddress = "\xff\xfe"; });
  send([](Report &it) { it.CallerAddress = "x"; });
  for (auto weight : {notANumber, -1.0, 1e308, 0.0})
    send([&](Report &it) { it.Weight = weight; });
  send([&](Report &it) {
    auto &watch = it.Watch.emplace();
    watch.AsOf = relay::StoreVersion::unpacked(huge);
    watch.Base = {};
    auto description = relay::ServerDescription{};
    description.Id = "bad";
    description.Service = "s1";
    description.Address = "127.0.0.1:99999";
    watch.Updates.push_back({"bad", {0, 9000}, description});
  });
  auto const steering = get(DirectoryPort, "/-/resolve?name=x");
  cr_assert(steering.Response->Body.find("\"x\"") == std::string::npos);
  assertFollows(gateway);
}

Test(MalformedInput, QuarantinedSuspectsAffectNoOthers) {
  auto gateway = RunningGateway("", [](FakePlatform &Platform) {
    Platform.addQuarantine("bad");
    Platform.addQuarantine("");
    Platform.addQuarantine(std::string(70000, 'f'));
  });
  assertFollows(gateway);
}

// The routes beside a malformed one are served, and a route that cannot be read
// serves nothing.
Test(MalformedInput, RoutesAffectNoOthers) {
  auto gateway = RunningGateway();
  auto route = [](std::string_view Name, std::string_view Field,
                  std::string_view Value) {
    auto fields = std::map<std::string, std::string, std::less<>>{
        {"name", fmt::format("\"{}\"", Name)},
        {"host", R"("h.example")"},
        {"path_prefix", fmt::format("\"/{}/\"", Name)},
        {"kind", R"("idempotent")"},
        {"timeout_ms", "2000"},
        {"target_latency_ms", "300"},
        {"service", R"("s1")"}};
    fields[std::string(Field)] = Value;
    auto text = std::string{};
    for (auto const &it : fields)
      text += fmt::format(R"({}"{}":{})", text.empty() ? "" : ",", it.first,
                          it.second);
    return "{" + text + "}";
  };
  auto version = 3;
  for (auto const &it : malformedValues()) {
    auto routes = std::string{};
    auto n = 0;
    for (auto const *field :
         {"name", "host", "path_prefix", "kind", "timeout_ms", "priority",
          "target_latency_ms", "target_gap_ms", "max_attempts", "service",
          "split", "resumable"})
      routes += route(fmt::format("bad{}", n++), field, it) + ",";
    gateway.Platform.putObject(
        "config", "main",
        objectText("main",
                   fmt::format(R"({{"version":{},"routes":[{}{},{}],)"
                               R"("services":[{{"name":"s1","max_conns":{}}},)"
                               R"({},{{"name":{}}}],"limits":{}}})",
                               ++version, routes,
                               route("once", "name", "\"once\""),
                               route(fmt::format("new{}", version), "kind",
                                     R"("idempotent")"),
                               it, it, it, it)));
    auto const added = fmt::format("new{}", version);
    cr_assert(becomes([&] { return status(gateway.request(added)) == 200; }),
              "%s", it.substr(0, 100).c_str());
    cr_assert(isServed(gateway));
    cr_assert_neq(status(gateway.request("bad4")), 0);
  }
  assertFollows(gateway);
}

} // namespace dotterel::test
