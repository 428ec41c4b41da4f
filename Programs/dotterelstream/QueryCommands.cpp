/// \file
/// "status" and "explain" ask an instance.
#include "CommandLine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

constexpr auto QueryTimeout = Duration{5s};
constexpr auto StatusOk = 200U;

/// The options that both commands take.
class QueryOptions {
public:
  explicit QueryOptions(CommandLine &Line)
      : Address("i", "instance", "ip:port that the instance has for callers",
                true, "", "address", Line),
        Output("o", "output", "text or json", false, "text", "format", Line) {}

  [[nodiscard]] auto wantsJson() -> bool {
    auto const &format = Output.getValue();
    if (format != "text" && format != "json")
      throw Error(ResultCode::InvalidUsage, "--output takes text or json");
    return format == "json";
  }

  auto ask(std::string const &Target) -> std::string {
    auto result = runBlocking(exchange(
        Address.getValue(), {"GET", Target, "", {}, ""}, QueryTimeout));
    if (!result.Response || result.Response->Status != StatusOk)
      throw Error(
          ResultCode::InstanceUnreachable,
          fmt::format("instance {} did not answer", Address.getValue()));
    return result.Response->Body;
  }

private:
  TCLAP::ValueArg<std::string> Address;
  TCLAP::ValueArg<std::string> Output;
};

auto describeState(json const &Engine, char const *Field) -> std::string {
  if (!Engine.contains(Field))
    return "-";
  auto const &state = Engine.at(Field);
  auto models = std::vector<std::string>{};
  for (auto const &it : state.at("models"))
    models.push_back(it.get<std::string>());
  return fmt::format("{}[{}]", state.at("role").get<std::string>(),
                     fmt::join(models, ","));
}

auto printStatus(json const &Report) -> void {
  fmt::print("instance {}  phase {}  revision {}  calls {}\n",
             Report.at("instance").get<std::string>(),
             Report.at("phase").get<std::string>(),
             Report.at("revision").get<std::uint64_t>(),
             Report.at("calls").get<std::uint64_t>());
  fmt::print("\n{:<16} {:<24} {:<24} {}\n", "ENGINE", "DECLARED", "RUNS",
             "DIFFERENCE");
  for (auto const &it : Report.at("engines")) {
    auto difference = it.at("difference").get<std::string>();
    fmt::print("{:<16} {:<24} {:<24} {}\n", it.at("id").get<std::string>(),
               describeState(it, "declared"), describeState(it, "runs"),
               difference.empty() ? "none" : difference);
  }
  fmt::print("\n{:<24} {:<16} {:>8} {:>7}\n", "SHARD", "HOLDER", "FENCING",
             "ORDERS");
  for (auto const &it : Report.at("shards"))
    fmt::print("{:<24} {:<16} {:>8} {:>7}\n", it.at("name").get<std::string>(),
               it.at("holder").get<std::string>(),
               it.at("fencing").get<std::uint64_t>(),
               it.at("orders").get<std::uint64_t>());
  fmt::print("\n{:<16} {:<7} {:<7} {:<8} {:>8}\n", "PEER", "LISTED", "ALIVE",
             "LEAVING", "REVISION");
  for (auto const &it : Report.at("peers"))
    fmt::print("{:<16} {:<7} {:<7} {:<8} {:>8}\n",
               it.at("id").get<std::string>(), it.at("listed").get<bool>(),
               it.at("alive").get<bool>(), it.at("leaving").get<bool>(),
               it.at("revision").get<std::uint64_t>());
}

auto printExplanation(json const &Report) -> void {
  if (Report.at("route").is_null()) {
    fmt::print("no route admits this traffic\n");
    return;
  }
  auto const &route = Report.at("route");
  fmt::print("route {}  class {}  deadline {} ms\n",
             route.at("name").get<std::string>(),
             route.at("class").get<std::string>(),
             route.at("deadline_ms").get<std::int64_t>());
  fmt::print("callers selected by '{}'\nservers selected by '{}'\n",
             route.at("callers").get<std::string>(),
             route.at("servers").get<std::string>());
  for (auto const &it : Report.at("servers"))
    fmt::print("  {} {}\n", it.at("id").get<std::string>(),
               it.at("available").get<bool>() ? "available" : "unavailable");
}

} // namespace

auto statusCommand(Arguments const &Given) -> void {
  auto line = CommandLine("status", "Shows what is declared, what runs, what "
                                    "differs and why.");
  auto options = QueryOptions(line);
  if (!line.parseArguments(Given))
    return;
  auto wantsJson = options.wantsJson();
  auto text = options.ask("/admin/status");
  if (wantsJson)
    return fmt::print("{}\n", text);
  printStatus(json::parse(text));
}

auto explainCommand(Arguments const &Given) -> void {
  auto line = CommandLine("explain", "Shows which route traffic takes and "
                                     "which servers can take it now.");
  auto options = QueryOptions(line);
  auto caller = TCLAP::ValueArg<std::string>(
      "c", "caller", "Name of the caller", false, "", "name", line);
  auto model = TCLAP::ValueArg<std::string>("m", "model", "Name of the model",
                                            false, "", "name", line);
  auto service = TCLAP::ValueArg<std::string>(
      "s", "service", "Name of the service", false, "", "name", line);
  if (!line.parseArguments(Given))
    return;
  if (model.isSet() == service.isSet())
    throw Error(ResultCode::InvalidUsage, "give one of --model and --service");
  auto wantsJson = options.wantsJson();
  auto text = options.ask(
      fmt::format("/admin/explain?caller={}&model={}&service={}",
                  caller.getValue(), model.getValue(), service.getValue()));
  if (wantsJson)
    return fmt::print("{}\n", text);
  printExplanation(json::parse(text));
}

} // namespace dotterel
