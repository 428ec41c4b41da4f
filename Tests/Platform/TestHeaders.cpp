#include "platform/Headers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

namespace dotterel::platform::test {

namespace {

/// An exchange that has a given request and discards the response.
class FakeExchange final : public HttpExchange {
public:
  explicit FakeExchange(std::vector<HttpField> Fields)
      : Fields(std::move(Fields)) {}

  [[nodiscard]] auto method() const -> std::string_view override {
    return "POST";
  }
  [[nodiscard]] auto path() const -> std::string_view override { return "/p"; }
  [[nodiscard]] auto target() const -> std::string_view override {
    return "/p?q=1";
  }
  auto visitFields(FieldVisitor const &Visitor) const -> void override {
    for (auto const &it : Fields)
      Visitor(it.Name, it.Value);
  }
  [[nodiscard]] auto query(std::string_view /*Name*/) const
      -> std::string override {
    return {};
  }
  [[nodiscard]] auto field(std::string_view Name) const
      -> std::string override {
    for (auto const &it : Fields) {
      if (it.Name == Name)
        return it.Value;
    }
    return {};
  }
  [[nodiscard]] auto body() -> std::string & override { return Body; }
  [[nodiscard]] auto callerAddress() const -> std::string override {
    return "10.0.0.9";
  }
  auto respond(HttpResponse /*Response*/) -> Awaitable<void> override {
    co_return;
  }
  auto beginStream(std::string /*Type*/, std::vector<HttpField> /*Fields*/)
      -> Awaitable<void> override {
    co_return;
  }
  auto beginResponse(HttpResponse /*Header*/) -> Awaitable<void> override {
    co_return;
  }
  auto beginResponse(HttpResponse /*Header*/, std::uint64_t /*Length*/)
      -> Awaitable<void> override {
    co_return;
  }
  auto writeChunk(std::string_view /*Data*/) -> Awaitable<void> override {
    co_return;
  }
  auto endStream() -> Awaitable<void> override { co_return; }
  auto notifyOnDisconnect(std::function<void()> /*Callback*/) -> void override {
  }
  auto abort() -> void override {}

private:
  std::vector<HttpField> Fields;
  std::string Body = "body";
};

auto value(std::vector<HttpField> const &Fields, std::string_view Name)
    -> std::string {
  auto it = std::ranges::find(Fields, Name, &HttpField::Name);
  return it == Fields.end() ? "(none)" : it->Value;
}

} // namespace

Test(PlatformHeaders, ReadsPlacementFields) {
  auto exchange = FakeExchange({{"Host", "h.example"},
                                {"Attempt-Id", "9c41"},
                                {"Last-Event-Id", "12"},
                                {"Model", "m"},
                                {"Token-Counts", "1460,80"},
                                {"Prompt-Prefix", "5c1e07a2:800,e4402b7d:660"},
                                {"Deadline-Ms", "5000"}});
  auto request = readRequest(exchange);
  cr_assert(request.Host == "h.example" && request.Id == "9c41");
  cr_assert(request.Target == "/p?q=1" && request.path() == "/p");
  cr_assert_eq(request.LastEventId, 12);
  cr_assert_eq(request.PromptTokens, 1460);
  cr_assert_eq(request.OutputTokens, 80);
  cr_assert_eq(request.PromptSegments.size(), 2);
  cr_assert_eq(request.PromptSegments[1].Tokens, 660);
  cr_assert(request.TimeLimit == Duration{5s});
  cr_assert(request.Body == "body");
  cr_assert(request.CallerAddress == "10.0.0.9");
  cr_assert(value(request.Fields, "Attempt-Id") == "9c41");
  cr_assert(value(request.Fields, "Prompt-Prefix") ==
            "5c1e07a2:800,e4402b7d:660");
}

Test(PlatformHeaders, DropsSystemAndHopByHopFields) {
  auto fields = std::vector<HttpField>{
      {"Connection", "close, x-private"}, {"X-Private", "1"}, {"X-Kept", "2"}};
  for (auto const *name :
       {"kv-hold", "Kv-Pin-Ms", "KV-BACKUP", "Kv-Source", "Kv-Fetch",
        "Serving-Stage", "Request-Priority", "Expect-Instance",
        "Expect-Version", "Transfer-Encoding", "Content-Length", "Upgrade"})
    fields.push_back({name, "forged"});
  auto exchange = FakeExchange(fields);
  auto request = readRequest(exchange);
  cr_assert_eq(request.Fields.size(), 1);
  cr_assert(value(request.Fields, "X-Kept") == "2");
}

Test(PlatformHeaders, IgnoresMalformedNumbers) {
  auto exchange = FakeExchange({{"Token-Counts", "many"},
                                {"Prompt-Prefix", "xx:yy,,"},
                                {"Deadline-Ms", "-5"},
                                {"Last-Event-Id", "abc"}});
  auto request = readRequest(exchange);
  cr_assert_eq(request.PromptTokens, 0);
  cr_assert(request.PromptSegments.empty());
  cr_assert_not(request.TimeLimit.has_value());
  cr_assert(value(request.Fields, "Last-Event-Id") == "abc");
}

Test(PlatformHeaders, WritesAttemptFields) {
  auto request = relay::Request{};
  request.Host = "h.example";
  request.Fields = {{"Attempt-Id", "9c41"}};
  auto parameters = relay::AttemptParameters{};
  parameters.TimeLimit = 1200ms;
  parameters.ExpectedServer = "i-7";
  parameters.PrefillAddress = "10.1.64.9:8080";
  parameters.PrefillHandle = "3fa0";
  parameters.CacheSource = "10.1.64.8:8080";
  parameters.LastEventId = 14;
  auto fields = writeRequestFields(request, parameters);
  cr_assert(value(fields, "Host") == "h.example");
  cr_assert(value(fields, "Attempt-Id") == "9c41");
  cr_assert(value(fields, "Deadline-Ms") == "1200");
  cr_assert(value(fields, "Expect-Instance") == "i-7");
  cr_assert(value(fields, "Kv-Source") == "10.1.64.9:8080/3fa0");
  cr_assert(value(fields, "Kv-Fetch") == "10.1.64.8:8080");
  cr_assert(value(fields, "Last-Event-Id") == "14");
  cr_assert(value(fields, "Serving-Stage") == "(none)");
  cr_assert(value(fields, "Request-Priority") == "(none)");
  auto prefill = relay::AttemptParameters{};
  prefill.IsPrefill = true;
  prefill.QueueRank = 3;
  cr_assert(value(writeRequestFields(request, prefill), "Request-Priority") ==
            "3");
  cr_assert(value(writeRequestFields(request, prefill), "Serving-Stage") ==
            "prefill");
}

Test(PlatformHeaders, ReadsWhatAServerSaysAboutItself) {
  auto fields =
      std::vector<HttpField>{{"server-leaving", "1"}, {"Retry-After", "3"}};
  auto refusal = readNotice(fields, 503);
  cr_assert(refusal.IsLeaving);
  cr_assert(refusal.Pause == Duration{3s});
  // Only a refusal asks for a pause.
  cr_assert_not(readNotice(fields, 200).Pause.has_value());
  cr_assert(readNotice(fields, 200).IsLeaving);
  fields[0].Value = "0";
  cr_assert_not(readNotice(fields, 503).IsLeaving);
}

Test(PlatformHeaders, PauseIsANumberOfSeconds) {
  cr_assert(readPause("0") == Duration{0s});
  cr_assert(readPause("2.5") == Duration{2500ms});
  cr_assert(readPause("3600") == Duration{1h});
  cr_assert(readPause("1000000000000") == Duration{24h});
  for (auto const *value : {"", "-1", "-0.5", "soon", "5s", "5 ", " 5", "1e3",
                            "inf", "nan", "Fri, 04 Dec 2026 08:00:00 GMT"})
    cr_assert_not(readPause(value).has_value(), "%s", value);
}

Test(PlatformHeaders, LimitIsADecimalNumberOfRequests) {
  auto read = [](std::vector<HttpField> const &Fields) {
    return readNotice(Fields, 200);
  };
  cr_assert(read({{"server-limit", "5.5"}}).RequestLimit == 5.5);
  cr_assert(read({{"Server-Limit", "0"}}).RequestLimit == 0.0);
  cr_assert(read({{"Server-Limit", "7"}, {"Server-Limit", "5"}}).RequestLimit ==
            5.0);
  cr_assert_not(read({{"Other", "5"}}).NamesLimit);
  for (auto const *value : {"", "-1", "many", "5/s", " 5", "inf", "nan"}) {
    auto notice = read({{"Server-Limit", value}});
    cr_assert(notice.NamesLimit && !notice.RequestLimit, "%s", value);
  }
}

Test(PlatformHeaders, ReadsHandlesAndReports) {
  cr_assert(readPrefillHandle(
                R"({"kv_handle":"3fa0","tokens":1460,"version":1})") == "3fa0");
  cr_assert(readPrefillHandle("torn").empty());
  cr_assert(readPrefillHandle(R"({"kv_handle":5})").empty());
  auto state = readOrderState(
      R"({"stage":"decode","models":[],"busy":false,"seq":2,"queued":1})");
  cr_assert(state && state->Accepted == 2 &&
            state->Stage == relay::EngineStage::Decode);
  cr_assert_not(readOrderState("{}").has_value());
}

Test(PlatformHeaders, OrdersContainHolderFenceAndExpectedCount) {
  auto order = relay::SendOrder{};
  order.Server = "i-7";
  order.Stage = relay::EngineStage::Prefill;
  order.Holder = "node-7";
  order.FencingNumber = 41;
  auto bytes = std::string{};
  auto request = orderRequest(order, 2, bytes);
  auto body = nlohmann::json::parse(request.Body);
  cr_assert(request.Method == "POST" && request.Target == "/-/order");
  cr_assert(body["op"] == "stage" && body["stage"] == "prefill");
  cr_assert(body["holder"] == "node-7" && body["fence"] == 41);
  cr_assert(body["expected"] == 2);
  cr_assert(value(request.Fields, "Expect-Instance") == "i-7");
}

} // namespace dotterel::platform::test
