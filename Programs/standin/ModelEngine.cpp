#include "ModelEngine.h"

#include "LibCore/Hash.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel::standin {

namespace {

constexpr auto PieceBytes = std::size_t{8000};
constexpr auto BytesPerToken = 4.0;
constexpr auto CachedPieces = std::size_t{64};
constexpr auto SnapshotInterval = Duration{50ms};
constexpr auto SnapshotsKept = std::size_t{400};
constexpr auto CacheEventLag = std::size_t{4};
constexpr auto CacheEventGap = std::size_t{7};
constexpr auto SlopeDivisor = 64.0;

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

auto promptOf(json const &Body) -> std::string {
  if (Body.contains("messages"))
    return Body.at("messages").dump();
  return Body.value("prompt", "");
}

auto tokenText(std::string const &Prompt, unsigned Index) -> std::string {
  return fmt::format("w{} ", hashText(Prompt, Index) % 1000);
}

auto chunk(bool IsChat, std::string const &Text) -> json {
  auto choice = IsChat ? json{{"index", 0}, {"delta", {{"content", Text}}}}
                       : json{{"index", 0}, {"text", Text}};
  return {{"choices", json::array({std::move(choice)})}};
}

} // namespace

ModelEngine::ModelEngine(Options Given)
    : Given(std::move(Given)),
      Run(static_cast<std::uint64_t>(
          std::chrono::steady_clock::now().time_since_epoch().count())),
      Models(splitNames(this->Given.Models)) {}

auto ModelEngine::handle(HttpExchange &Target) -> Awaitable<void> {
  auto path = Target.path();
  if (path == "/control")
    co_return co_await control(Target);
  if (IsSilent)
    co_return Target.abort();
  if (path == "/report")
    co_return co_await report(Target);
  if (path == "/orders")
    co_return co_await order(Target);
  if (path == "/cache/events")
    co_return co_await cacheEvents(Target);
  if (path == "/cache/export" || path == "/cache/import")
    co_return co_await moveCache(Target);
  co_await generate(Target);
}

auto ModelEngine::refusal(json const &Body) const -> std::string {
  if (IsChanging)
    return "changing";
  if (Role != "mixed")
    return "wrong role";
  auto model = Body.value("model", "");
  if (std::ranges::find(Models, model) == Models.end())
    return "model not loaded";
  return "";
}

auto ModelEngine::generate(HttpExchange &Target) -> Awaitable<void> {
  auto body = parseBody(Target);
  if (auto problem = refusal(body); !problem.empty()) {
    ++Refused;
    co_return co_await respondJson(Target, 503, {{"error", problem}});
  }
  ++Running;
  auto prompt = promptOf(body);
  auto resumed = Target.field("Last-Event-ID");
  auto first =
      resumed.empty() ? 1U : static_cast<unsigned>(std::stoul(resumed)) + 1;
  auto last = body.value("max_tokens", 16U);
  auto isGone = std::make_shared<bool>(false);
  Target.notifyOnDisconnect([isGone] { *isGone = true; });
  auto run = Run;
  try {
    co_await runPrefill(uncachedTokens(prompt) + first,
                        body.value("priority", 0));
    if (!*isGone && run == Run)
      co_await stream(Target, prompt, body.contains("messages"), first, last);
  } catch (boost::system::system_error const &) {
    // The instance cancelled the request.
  }
  if (run == Run)
    --Running;
}

auto ModelEngine::uncachedTokens(std::string const &Prompt) -> double {
  auto tokens = static_cast<double>(Prompt.size()) / BytesPerToken;
  for (auto piece : hashPrefixes(Prompt, PieceBytes)) {
    if (Cache.contains(piece))
      tokens -= PieceBytes / BytesPerToken;
    remember(piece);
  }
  return std::max(tokens, 1.0);
}

auto ModelEngine::remember(std::uint64_t Piece) -> void {
  if (!Cache.insert(Piece).second)
    return;
  CacheOrder.push_back(Piece);
  if (CacheOrder.size() <= CachedPieces)
    return;
  Cache.erase(CacheOrder.front());
  CacheOrder.pop_front();
}

auto ModelEngine::runPrefill(double Tokens, int Priority) -> Awaitable<void> {
  auto number = ++NextPrefill;
  auto place = std::ranges::find_if(
      Waiting, [&](Prefill const &it) { return it.Priority < Priority; });
  // The head is being worked on and keeps its place.
  if (place == Waiting.begin() && !Waiting.empty())
    ++place;
  Waiting.insert(place, {Priority, number, Tokens});
  QueuedTokens += Tokens;
  while (Waiting.front().Number != number)
    co_await sleepFor(1ms);
  co_await sleepFor(fromSeconds(Tokens / Given.PrefillTokensPerSecond));
  QueuedTokens -= Tokens;
  PrefilledTokens += Tokens;
  Waiting.pop_front();
}

auto ModelEngine::stream(HttpExchange &Target, std::string const &Prompt,
                         bool IsChat, unsigned First, unsigned Last)
    -> Awaitable<void> {
  co_await Target.beginStream("text/event-stream", {});
  auto order = OrdersAccepted;
  auto run = Run;
  for (auto n = First; n <= Last; ++n) {
    auto slowdown = 1 + Running / SlopeDivisor;
    co_await sleepFor(fromSeconds(Given.DecodeMs * slowdown / 1000));
    auto sent = static_cast<int>(n - First);
    if (run != Run || (BreakAfterTokens > 0 && sent >= BreakAfterTokens))
      co_return Target.abort();
    if (OrdersAccepted != order) {
      ++CutByOrder;
      co_return Target.abort();
    }
    auto data = chunk(IsChat, tokenText(Prompt, n)).dump();
    co_await Target.writeChunk(fmt::format("id: {}\ndata: {}\n\n", n, data));
  }
  ++Served;
  co_await Target.writeChunk("data: [DONE]\n\n");
  co_await Target.endStream();
}

auto ModelEngine::snapshot() const -> json {
  return {
      {"run", Run},
      {"role", Role},
      {"models", Models},
      {"changing", IsChanging},
      {"last_order", LastOrder},
      {"highest_fencing", HighestFencing},
      {"running", Running},
      {"queued_prefill_tokens", static_cast<std::uint64_t>(QueuedTokens)},
      {"prefilled_tokens", static_cast<std::uint64_t>(PrefilledTokens)},
      {"free_cache_tokens", (CachedPieces - Cache.size()) * PieceBytes / 4}};
}

auto ModelEngine::run() -> Awaitable<void> {
  for (;;) {
    Snapshots.push_back({std::chrono::steady_clock::now(), snapshot()});
    if (Snapshots.size() > SnapshotsKept)
      Snapshots.pop_front();
    co_await sleepFor(SnapshotInterval);
  }
}

auto ModelEngine::report(HttpExchange &Target) -> Awaitable<void> {
  auto now = Instant{std::chrono::steady_clock::now()};
  auto limit = now - std::chrono::milliseconds(Given.ReportLagMs);
  auto const *shown = &Snapshots.front();
  for (auto const &it : Snapshots)
    if (it.At <= limit)
      shown = &it;
  auto body = shown->Report;
  body["age_ms"] = toMilliseconds(now - shown->At) + 1;
  co_await respondJson(Target, 200, body);
}

auto ModelEngine::order(HttpExchange &Target) -> Awaitable<void> {
  auto body = parseBody(Target);
  auto fencing = body.value("fencing", std::uint64_t{0});
  auto number = body.value("order", std::uint64_t{0});
  auto isStale = fencing < HighestFencing;
  if (Given.ChecksFencing && isStale) {
    ++OrdersRefused;
    co_return co_await respondJson(Target, 412, {{"error", "stale fencing"}});
  }
  if (Given.ChecksFencing)
    HighestFencing = fencing;
  if (body.value("fence_only", false))
    co_return co_await respondJson(Target, 200, json::object());
  auto isRepeated = IsChanging ? number == CurrentOrder : number == LastOrder;
  if (isRepeated)
    co_return co_await respondJson(Target, 200, json::object());
  auto isBusy = Running > 0 || (IsChanging && CurrentOrder != 0);
  if (isBusy && body.value("if_idle", false)) {
    ++OrdersRefused;
    co_return co_await respondJson(Target, 409, {{"error", "busy"}});
  }
  if (isStale)
    ++StaleOrdersObeyed;
  ++OrdersAccepted;
  IsChanging = true;
  CurrentOrder = number;
  spawnTask(co_await asio::this_coro::executor,
            [this, body] { return change(body); });
  co_await respondJson(Target, 200, json::object());
}

auto ModelEngine::change(json Body) -> Awaitable<void> {
  auto wanted = Body.at("models").get<std::vector<std::string>>();
  co_await sleepFor(std::chrono::milliseconds(Given.RoleChangeMs));
  if (CrashesOnOrder) {
    // Neither the old state nor the new one: a restart that found half of it.
    CrashesOnOrder = false;
    ++Run;
    Running = 0;
    Models.clear();
    CurrentOrder = 0;
    co_return;
  }
  for (auto const &it : wanted)
    if (std::ranges::find(Models, it) == Models.end())
      (void)co_await exchange(Given.Platform,
                              {"GET", "/weights/" + it, "", {}, ""}, 60s);
  Role = Body.at("role").get<std::string>();
  Models = wanted;
  Cache.clear();
  CacheOrder.clear();
  LastOrder = CurrentOrder;
  CurrentOrder = 0;
  IsChanging = false;
}

auto ModelEngine::cacheEvents(HttpExchange &Target) -> Awaitable<void> {
  auto events = json::array();
  for (auto n = std::size_t{0}; n + CacheEventLag < CacheOrder.size(); ++n)
    if (n % CacheEventGap != CacheEventGap - 1)
      events.push_back({{"sequence", n}, {"stored", CacheOrder[n]}});
  co_await respondJson(Target, 200, {{"events", events}});
}

auto ModelEngine::moveCache(HttpExchange &Target) -> Awaitable<void> {
  auto pieces = parseBody(Target).value("pieces", std::vector<std::uint64_t>{});
  auto isImport = Target.path() == "/cache/import";
  auto moved = json::array();
  for (auto piece : pieces) {
    if (isImport)
      remember(piece);
    if (Cache.contains(piece))
      moved.push_back(piece);
  }
  co_await respondJson(Target, 200, {{"pieces", moved}});
}

auto ModelEngine::control(HttpExchange &Target) -> Awaitable<void> {
  auto body = parseBody(Target);
  CrashesOnOrder = body.value("crashOnOrder", CrashesOnOrder);
  IsSilent = body.value("silent", IsSilent);
  BreakAfterTokens = body.value("breakAfterTokens", BreakAfterTokens);
  Given.DecodeMs = body.value("decodeMs", Given.DecodeMs);
  auto state = snapshot();
  state["served"] = Served;
  state["refused"] = Refused;
  state["cutByOrder"] = CutByOrder;
  state["ordersAccepted"] = OrdersAccepted;
  state["ordersRefused"] = OrdersRefused;
  state["staleOrdersObeyed"] = StaleOrdersObeyed;
  co_await respondJson(Target, 200, state);
}

} // namespace dotterel::standin
