#include "platform/Store.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

namespace dotterel::platform::test {

namespace {

using nlohmann::json;

auto object(std::string Name, std::string_view Spec) -> StoredObject {
  return {std::move(Name),
          {0, 530},
          std::make_shared<json const>(json::parse(Spec))};
}

constexpr auto ServerSpec = std::string_view{
    R"({"service":"s1","address":"10.128.0.9:8080","zone":"z1",
        "version":"v1","slots":64,"state":"ready","cold_left_ms":0,
        "stage":"decode","models":[],"seq":4,"born":1789448536175})"};

constexpr auto ConfigurationSpec = std::string_view{
    R"({"version":7,
        "routes":[{"name":"r1","host":"h.example","path_prefix":"/a/",
                   "kind":"streaming","timeout_ms":4000,
                   "target_latency_ms":1000,"priority":1,"service":"s1",
                   "max_attempts":1,"sticky":true,"resumable":false,
                   "target_gap_ms":200},
                  {"name":"r2","host":"h.example","path_prefix":"/a/b/",
                   "kind":"idempotent","timeout_ms":600,
                   "target_latency_ms":100,"priority":2,
                   "split":[{"service":"s1","weight":90},
                            {"service":"s2","weight":10}],
                   "max_attempts":2}],
        "services":[{"name":"s1","health_path":"/health","max_conns":786,
                     "engine":{"slots":64,"kv_tokens":531757,
                               "kv_token_bytes":163840,
                               "link_mbps":1600000.0,"moves":true}},
                    {"name":"s2","health_path":"/health","max_conns":234}],
        "limits":{"max_header_bytes":16000,"max_body_bytes":4194304,
                  "header_timeout_ms":3000,"idle_timeout_ms":15000}})"};

} // namespace

Test(PlatformStore, ReadsAServer) {
  auto server = readServer(object("i-7", ServerSpec));
  cr_assert(server.has_value());
  cr_assert(server->Id == "i-7" && server->Service == "s1");
  cr_assert(server->Stage == relay::EngineStage::Decode);
  cr_assert_eq(server->StartedAt, 1789448536175ULL);
  cr_assert_eq(server->Version.revision(), 530);
  cr_assert_not(server->IsDraining);
}

Test(PlatformStore, RejectsInvalidServers) {
  for (
      auto const *spec :
      {"null", "5", "\"text\"", "[]", "{}",
       R"({"service":"s1","address":"a:1","zone":"z","slots":6,"state":"gone"})",
       R"({"service":7,"address":"a:1","zone":"z","slots":6,"state":"ready"})",
       R"({"service":"s1","zone":"z","slots":6,"state":"ready"})",
       R"({"service":"s1","address":"a:1","zone":"z","slots":"6","state":"ready"})",
       R"({"service":"s1","address":"a:1","zone":"z","slots":6,"state":"ready","stage":"other"})",
       R"({"service":"s1","address":"a:1","zone":"z","slots":6,"state":"ready","stage":4})",
       R"({"service":"s1","address":"a:1","zone":"z","slots":6,"state":"ready","born":"x"})"})
    cr_assert_not(readServer(object("i", spec)).has_value(), "%s", spec);
}

Test(PlatformStore, ReadsAConfiguration) {
  auto configuration = readConfiguration(object("main", ConfigurationSpec));
  cr_assert_not_null(configuration.get());
  cr_assert_eq(configuration->version(), 7);
  auto const *outer = configuration->findRoute("h.example", "/a/x");
  cr_assert(outer->Name == "r1" && outer->IsStream && !outer->IsResumable);
  cr_assert(outer->TargetGap == 200ms);
  auto const *inner = configuration->findRoute("h.example", "/a/b/");
  cr_assert(inner->Name == "r2" && inner->IsIdempotent);
  cr_assert_eq(inner->Services.size(), 2);
  cr_assert_null(configuration->findRoute("h.example", "/b/x"));
  cr_assert_null(configuration->findRoute("other", "/a/x"));
  cr_assert_null(configuration->findRoute("h.example", "/a"));
  cr_assert(configuration->findService("s1")->Engine->SupportsCacheTransfer);
  cr_assert_not(configuration->findService("s2")->Engine.has_value());
  cr_assert_eq(configuration->limits().HeaderBytes, 16000);
}

Test(PlatformStore, RejectsInvalidConfigurations) {
  cr_assert_null(readConfiguration(object("main", "{}")).get());
  cr_assert_null(readConfiguration(object("main", R"({"version":"x"})")).get());
}

Test(PlatformStore, ReadsPagesAndSkipsObjectsWithoutMetadata) {
  auto page = readPage(
      R"({"items":[{"metadata":{"name":"a","revision":3},"spec":{}},
                   {"metadata":{}}, 7],"more_pages":true,"as_of":530})",
      3);
  cr_assert(page.has_value());
  cr_assert_eq(page->Objects.size(), 1);
  cr_assert(page->HasMore);
  cr_assert(page->AsOf == relay::StoreVersion(3, 530));
  for (auto const *body :
       {"", "{", "[]", R"({"items":[]})", R"({"items":5,"as_of":1})"})
    cr_assert_not(readPage(body, 3).has_value());
}

Test(PlatformStore, ReadsChanges) {
  auto changes = readChanges(
      R"({"events":[{"deleted":true,"object":{"metadata":{"name":"a",
          "revision":531},"spec":{}}},{"deleted":false}],"as_of":533})",
      3);
  cr_assert(changes.has_value());
  cr_assert_eq(changes->Changes.size(), 1);
  cr_assert(changes->Changes[0].IsRemoved);
  cr_assert(changes->AsOf == relay::StoreVersion(3, 533));
  cr_assert_not(readChanges(R"({"events":{}})", 3).has_value());
}

Test(PlatformStore, ReadsTheEra) {
  auto era = [](std::string Name, std::string Value) {
    auto fields = std::vector<HttpField>{{"Date", "7"}, {Name, Value}};
    return readEra(fields);
  };
  cr_assert_eq(era("Store-Era", "7"), 7);
  cr_assert_eq(era("store-era", "12"), 12);
  cr_assert_eq(era("Other", "7"), 0);
  for (auto const *value : {"", "x", "-1", "7 ", "1.5", "99999999999999999999"})
    cr_assert_eq(era("Store-Era", value), 0, "%s", value);
}

Test(PlatformStore, VersionsAreOrderedByEraFirst) {
  using relay::StoreVersion;
  cr_assert(StoreVersion(1, 3) > StoreVersion(0, 900));
  cr_assert(StoreVersion(1, 3) < StoreVersion(1, 4));
  for (auto version : {StoreVersion{0, 17}, StoreVersion{5, 0},
                       StoreVersion{8000, 1099511627775ULL}})
    cr_assert(StoreVersion::unpacked(version.packed()) == version);
  cr_assert_gt(StoreVersion(1, 3).packed(), StoreVersion(0, 900).packed());
}

Test(PlatformStore, WritesAndReadsTheLease) {
  auto body = json::parse(writeLease("i0", {0, 412}));
  cr_assert_eq(body["metadata"]["revision"].get<int>(), 412);
  cr_assert_not(
      json::parse(writeLease("i0", {0, 0}))["metadata"].contains("revision"));
  auto read = readLease(
      R"({"metadata":{"name":"engine-orders","revision":413},
          "spec":{"holder":"i0"}})",
      3);
  cr_assert(read.IsRead && read.Holder == "i0");
  cr_assert(read.Version == relay::StoreVersion(3, 413));
  cr_assert_not(readLease("{}", 3).IsRead);
  cr_assert_not(readLease("torn", 3).IsRead);
}

Test(PlatformStore, SuspectsInQuarantineKeepTheirKind) {
  using relay::SuspectKind;
  for (auto kind :
       {SuspectKind::Segment, SuspectKind::Request,
        SuspectKind::AmbiguousRequest, SuspectKind::AmbiguousSegment}) {
    auto const suspect = relay::Suspect{0xabcd, kind};
    auto const body = json::parse(writeQuarantine(suspect));
    auto const name = body["metadata"]["name"].get<std::string>();
    cr_assert(name == quarantineName(suspect));
    cr_assert(readQuarantine(object(name, body["spec"].dump())) == suspect);
  }
  // The cause and the ambiguous request may both be listed.
  cr_assert(quarantineName({1, SuspectKind::Request}) !=
            quarantineName({1, SuspectKind::AmbiguousRequest}));
  cr_assert_not(readQuarantine(object("-ambiguous", "{}")).has_value());
}

Test(PlatformStore, SteeringContainsAddressesAndLifetime) {
  auto body = json::parse(writeSteering({"10.1.0.38:8149"}, 2s));
  cr_assert_eq(body["addrs"][0].get<std::string>(), "10.1.0.38:8149");
  cr_assert_eq(body["ttl_s"].get<double>(), 2.0);
}

Test(PlatformStore, FormatsPaths) {
  cr_assert(listPath("servers", "i-7") == "/-/objects/servers?after=i-7");
  cr_assert(listPath("servers", "", Freshness::Stale) ==
            "/-/objects/servers?allow_stale=1");
  cr_assert(listPath("servers", "i-7", Freshness::Stale) ==
            "/-/objects/servers?after=i-7&allow_stale=1");
  cr_assert(watchPath("servers", {0, 530}, std::chrono::milliseconds{400}) ==
            "/-/objects/servers?watch=530&wait_ms=400");
  cr_assert(objectPath("config", "main") == "/-/objects/config/main");
}

} // namespace dotterel::platform::test
