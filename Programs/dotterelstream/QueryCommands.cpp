/// \file
/// The commands "status" and "explain" query a running instance.
#include "CommandLine.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

constexpr auto QueryTimeout = Duration{5s};
constexpr auto StatusOk = 200U;

/// The options of both commands: the instance to query and the output format.
class QueryOptions {
public:
  explicit QueryOptions(CommandLine &Parser)
      : Address("i", "instance", "ip:port at which the instance serves callers",
                true, "", "address", Parser),
        Output("o", "output", "text or json", false, "text", "format", Parser) {
  }

  [[nodiscard]] auto wantsJson() -> bool {
    auto const &format = Output.getValue();
    if (format != "text" && format != "json")
      throw Error(
          ResultCode::InvalidUsage,
          fmt::format("--output must be text or json, not '{}'", format));
    return format == "json";
  }

  /// Returns the body of the instance's response to a GET request.
  /// Errors: dotterel::Error InstanceUnreachable.
  auto query(std::string const &Target) -> std::string {
    auto result = runBlocking(exchange(
        Address.getValue(), {"GET", Target, "", {}, ""}, QueryTimeout));
    if (!result.Response || result.Response->Status != StatusOk)
      throw Error(ResultCode::InstanceUnreachable,
                  fmt::format("instance {} did not answer {} with status {}",
                              Address.getValue(), Target, StatusOk));
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
    fmt::print("no route admits this call\n");
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

auto statusCommand(ArgumentList const &Arguments) -> void {
  auto commandLine =
      CommandLine("status", "Shows the declared and the actual state of "
                            "the engines, and why they differ.");
  auto options = QueryOptions(commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  auto wantsJson = options.wantsJson();
  auto text = options.query("/admin/status");
  if (wantsJson)
    return fmt::print("{}\n", text);
  printStatus(json::parse(text));
}

auto explainCommand(ArgumentList const &Arguments) -> void {
  auto commandLine =
      CommandLine("explain", "Shows which route a call takes and "
                             "which servers are available for it.");
  auto options = QueryOptions(commandLine);
  auto caller = TCLAP::ValueArg<std::string>(
      "c", "caller", "Name of the caller", false, "", "name", commandLine);
  auto model = TCLAP::ValueArg<std::string>("m", "model", "Name of the model",
                                            false, "", "name", commandLine);
  auto service = TCLAP::ValueArg<std::string>(
      "s", "service", "Name of the service", false, "", "name", commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  if (model.isSet() == service.isSet())
    throw Error(ResultCode::InvalidUsage,
                "exactly one of --model and --service is required");
  auto wantsJson = options.wantsJson();
  auto text = options.query(
      fmt::format("/admin/explain?caller={}&model={}&service={}",
                  caller.getValue(), model.getValue(), service.getValue()));
  if (wantsJson)
    return fmt::print("{}\n", text);
  printExplanation(json::parse(text));
}

} // namespace dotterel
