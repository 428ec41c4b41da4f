#include "ModelEngine.h"

#include "LibCore/Hash.h"
#include "LibNet/Task.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel::standin {

namespace {

constexpr auto BlockBytes = std::size_t{8000};
constexpr auto BytesPerToken = 4.0;
constexpr auto MaximumCachedBlocks = std::size_t{64};
constexpr auto SnapshotInterval = Duration{50ms};
constexpr auto MaximumSnapshots = std::size_t{400};
/// Number of the newest cache events that are not reported yet.
constexpr auto CacheEventLag = std::size_t{4};
/// Every seventh cache event is lost.
constexpr auto LostCacheEventInterval = std::size_t{7};
/// Number of running requests that doubles the time per token.
constexpr auto RequestsThatDoubleDecodeTime = 64.0;

auto splitNames(std::string const &Text) -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  auto rest = std::string_view(Text);
  while (!rest.empty()) {
    auto end = std::min(rest.find(','), rest.size());
    names.emplace_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return names;
}

auto extractPrompt(json const &Body) -> std::string {
  if (Body.contains("messages"))
    return Body.at("messages").dump();
  return Body.value("prompt", "");
}

auto tokenText(std::string const &Prompt, unsigned Index) -> std::string {
  return fmt::format("w{} ", hashText(Prompt, Index) % 1000);
}

auto makeChunk(bool IsChat, std::string const &Text) -> json {
  auto choice = IsChat ? json{{"index", 0}, {"delta", {{"content", Text}}}}
                       : json{{"index", 0}, {"text", Text}};
  return {{"choices", json::array({std::move(choice)})}};
}

} // namespace

ModelEngine::ModelEngine(StandinOptions Options)
    : Options(std::move(Options)),
      RunId(static_cast<std::uint64_t>(
          std::chrono::steady_clock::now().time_since_epoch().count())),
      Models(splitNames(this->Options.Models)) {}

auto ModelEngine::handle(HttpExchange &Exchange) -> Awaitable<void> {
  auto path = Exchange.path();
  if (path == "/control")
    co_return co_await control(Exchange);
  if (IsSilent)
    co_return Exchange.abort();
  if (path == "/report")
    co_return co_await report(Exchange);
  if (path == "/orders")
    co_return co_await order(Exchange);
  if (path == "/cache/events")
    co_return co_await cacheEvents(Exchange);
  if (path == "/cache/export" || path == "/cache/import")
    co_return co_await transferCache(Exchange);
  co_await generate(Exchange);
}

auto ModelEngine::reasonToRefuse(json const &Body) const -> std::string {
  if (IsChanging)
    return "changing";
  if (Role != "mixed")
    return "wrong role";
  auto model = Body.value("model", "");
  if (std::ranges::find(Models, model) == Models.end())
    return "model not loaded";
  return "";
}

auto ModelEngine::generate(HttpExchange &Exchange) -> Awaitable<void> {
  auto body = parseBody(Exchange);
  if (auto error = reasonToRefuse(body); !error.empty()) {
    ++Refused;
    co_return co_await respondJson(Exchange, 503, {{"error", error}});
  }
  ++Running;
  auto prompt = extractPrompt(body);
  auto resumed = Exchange.field("Last-Event-ID");
  auto first =
      resumed.empty() ? 1U : static_cast<unsigned>(std::stoul(resumed)) + 1;
  auto last = body.value("max_tokens", 16U);
  auto isDisconnected = std::make_shared<bool>(false);
  Exchange.notifyOnDisconnect([isDisconnected] { *isDisconnected = true; });
  auto run = RunId;
  try {
    co_await runPrefill(uncachedTokens(prompt) + first,
                        body.value("priority", 0));
    if (!*isDisconnected && run == RunId)
      co_await stream(Exchange, prompt, body.contains("messages"), first, last);
  } catch (boost::system::system_error const &) {
    // The instance cancelled the request.
  }
  if (run == RunId)
    --Running;
}

auto ModelEngine::uncachedTokens(std::string const &Prompt) -> double {
  auto tokens = static_cast<double>(Prompt.size()) / BytesPerToken;
  for (auto block : hashPrefixes(Prompt, BlockBytes)) {
    if (Cache.contains(block))
      tokens -= BlockBytes / BytesPerToken;
    insertBlock(block);
  }
  return std::max(tokens, 1.0);
}

auto ModelEngine::insertBlock(std::uint64_t Block) -> void {
  if (!Cache.insert(Block).second)
    return;
  CacheOrder.push_back(Block);
  if (CacheOrder.size() <= MaximumCachedBlocks)
    return;
  Cache.erase(CacheOrder.front());
  CacheOrder.pop_front();
}

auto ModelEngine::runPrefill(double Tokens, int Priority) -> Awaitable<void> {
  auto number = ++NextPrefill;
  auto position = std::ranges::find_if(
      Waiting, [&](Prefill const &it) { return it.Priority < Priority; });
  // The first entry is being prefilled and is not preempted.
  if (position == Waiting.begin() && !Waiting.empty())
    ++position;
  Waiting.insert(position, {Priority, number, Tokens});
  QueuedTokens += Tokens;
  while (Waiting.front().Number != number)
    co_await sleepFor(1ms);
  co_await sleepFor(fromSeconds(Tokens / Options.PrefillTokensPerSecond));
  QueuedTokens -= Tokens;
  PrefilledTokens += Tokens;
  Waiting.pop_front();
}

auto ModelEngine::stream(HttpExchange &Exchange, std::string const &Prompt,
                         bool IsChat, unsigned First, unsigned Last)
    -> Awaitable<void> {
  co_await Exchange.beginStream("text/event-stream", {});
  auto order = OrdersAccepted;
  auto run = RunId;
  for (auto n = First; n <= Last; ++n) {
    auto slowdown = 1 + Running / RequestsThatDoubleDecodeTime;
    co_await sleepFor(fromSeconds(Options.DecodeMs * slowdown / 1000));
    auto sent = static_cast<int>(n - First);
    if (run != RunId || (BreakAfterTokens > 0 && sent >= BreakAfterTokens))
      co_return Exchange.abort();
    if (OrdersAccepted != order) {
      ++CutByOrder;
      co_return Exchange.abort();
    }
    auto data = makeChunk(IsChat, tokenText(Prompt, n)).dump();
    co_await Exchange.writeChunk(fmt::format("id: {}\ndata: {}\n\n", n, data));
  }
  ++Served;
  co_await Exchange.writeChunk("data: [DONE]\n\n");
  co_await Exchange.endStream();
}

auto ModelEngine::snapshot() const -> json {
  return {{"run", RunId},
          {"role", Role},
          {"models", Models},
          {"changing", IsChanging},
          {"last_order", LastOrder},
          {"highest_fencing", HighestFencing},
          {"running", Running},
          {"queued_prefill_tokens", static_cast<std::uint64_t>(QueuedTokens)},
          {"prefilled_tokens", static_cast<std::uint64_t>(PrefilledTokens)},
          {"free_cache_tokens",
           (MaximumCachedBlocks - Cache.size()) * BlockBytes / 4}};
}

auto ModelEngine::run() -> Awaitable<void> {
  for (;;) {
    Snapshots.push_back({std::chrono::steady_clock::now(), snapshot()});
    if (Snapshots.size() > MaximumSnapshots)
      Snapshots.pop_front();
    co_await sleepFor(SnapshotInterval);
  }
}

auto ModelEngine::report(HttpExchange &Exchange) -> Awaitable<void> {
  auto now = Instant{std::chrono::steady_clock::now()};
  auto latestVisible = now - std::chrono::milliseconds(Options.ReportLagMs);
  auto const *visible = &Snapshots.front();
  for (auto const &it : Snapshots)
    if (it.At <= latestVisible)
      visible = &it;
  auto body = visible->Report;
  body["age_ms"] = toMilliseconds(now - visible->At) + 1;
  co_await respondJson(Exchange, 200, body);
}

auto ModelEngine::order(HttpExchange &Exchange) -> Awaitable<void> {
  auto body = parseBody(Exchange);
  auto fencing = body.value("fencing", std::uint64_t{0});
  auto number = body.value("order", std::uint64_t{0});
  auto isStale = fencing < HighestFencing;
  if (Options.ChecksFencing && isStale) {
    ++OrdersRefused;
    co_return co_await respondJson(Exchange, 412, {{"error", "stale fencing"}});
  }
  if (Options.ChecksFencing)
    HighestFencing = fencing;
  if (body.value("fence_only", false))
    co_return co_await respondJson(Exchange, 200, json::object());
  auto isRepeated = IsChanging ? number == CurrentOrder : number == LastOrder;
  if (isRepeated)
    co_return co_await respondJson(Exchange, 200, json::object());
  auto isBusy = Running > 0 || (IsChanging && CurrentOrder != 0);
  if (isBusy && body.value("if_idle", false)) {
    ++OrdersRefused;
    co_return co_await respondJson(Exchange, 409, {{"error", "busy"}});
  }
  if (isStale)
    ++StaleOrdersAccepted;
  ++OrdersAccepted;
  IsChanging = true;
  CurrentOrder = number;
  spawnTask(co_await asio::this_coro::executor, "engine-run",
            [this, body] { return change(body); });
  co_await respondJson(Exchange, 200, json::object());
}

auto ModelEngine::change(json Body) -> Awaitable<void> {
  auto targetModels = Body.at("models").get<std::vector<std::string>>();
  co_await sleepFor(std::chrono::milliseconds(Options.RoleChangeMs));
  if (CrashesOnOrder) {
    // Simulates a crash and restart during the change: the engine ends up in
    // neither the old nor the new state, and the order is not recorded as done.
    CrashesOnOrder = false;
    ++RunId;
    Running = 0;
    Models.clear();
    CurrentOrder = 0;
    co_return;
  }
  for (auto const &it : targetModels)
    if (std::ranges::find(Models, it) == Models.end())
      (void)co_await exchange(Options.Platform,
                              {"GET", "/weights/" + it, "", {}, ""}, 60s);
  Role = Body.at("role").get<std::string>();
  Models = targetModels;
  Cache.clear();
  CacheOrder.clear();
  LastOrder = CurrentOrder;
  CurrentOrder = 0;
  IsChanging = false;
}

auto ModelEngine::cacheEvents(HttpExchange &Exchange) -> Awaitable<void> {
  auto events = json::array();
  for (auto n = std::size_t{0}; n + CacheEventLag < CacheOrder.size(); ++n)
    if (n % LostCacheEventInterval != LostCacheEventInterval - 1)
      events.push_back({{"sequence", n}, {"stored", CacheOrder[n]}});
  co_await respondJson(Exchange, 200, {{"events", events}});
}

auto ModelEngine::transferCache(HttpExchange &Exchange) -> Awaitable<void> {
  auto blocks =
      parseBody(Exchange).value("pieces", std::vector<std::uint64_t>{});
  auto isImport = Exchange.path() == "/cache/import";
  auto moved = json::array();
  for (auto block : blocks) {
    if (isImport)
      insertBlock(block);
    if (Cache.contains(block))
      moved.push_back(block);
  }
  co_await respondJson(Exchange, 200, {{"pieces", moved}});
}

auto ModelEngine::control(HttpExchange &Exchange) -> Awaitable<void> {
  auto body = parseBody(Exchange);
  CrashesOnOrder = body.value("crashOnOrder", CrashesOnOrder);
  IsSilent = body.value("silent", IsSilent);
  BreakAfterTokens = body.value("breakAfterTokens", BreakAfterTokens);
  Options.DecodeMs = body.value("decodeMs", Options.DecodeMs);
  auto state = snapshot();
  state["served"] = Served;
  state["refused"] = Refused;
  state["cutByOrder"] = CutByOrder;
  state["ordersAccepted"] = OrdersAccepted;
  state["ordersRefused"] = OrdersRefused;
  state["staleOrdersObeyed"] = StaleOrdersAccepted;
  co_await respondJson(Exchange, 200, state);
}

} // namespace dotterel::standin
