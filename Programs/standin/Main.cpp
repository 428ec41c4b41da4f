/// \file
/// Stand-ins for what the system meets, each a process of its own: the
/// platform (object API, instance list, weight store), a model engine and a
/// plain service.
#include "InstanceList.h"
#include "ModelEngine.h"
#include "ObjectApi.h"
#include "PlainService.h"
#include "WeightStore.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

namespace dotterel::standin {

namespace {

/// The platform's three services behind one address.
class Platform {
public:
  explicit Platform(Options const &Given) : Instances(Given.ListLagMs) {}

  auto handle(HttpExchange &Target) -> Awaitable<void> {
    if (ObjectApi::owns(Target.path()))
      co_return co_await Objects.handle(Target);
    if (Target.path() == "/instances")
      co_return co_await Instances.handle(Target);
    if (Target.path().starts_with("/weights/"))
      co_return co_await Weights.handle(Target);
    auto body = parseBody(Target);
    Objects.control(body);
    Instances.control(body);
    Weights.control(body);
    co_await respondJson(
        Target, 200,
        {{"objects", Objects.counts()}, {"weights", Weights.counts()}});
  }

  auto run() -> Awaitable<void> { return Instances.run(); }

private:
  ObjectApi Objects;
  InstanceList Instances;
  WeightStore Weights;
};

template <typename Kind>
auto serve(asio::io_context &Context, Options const &Given, Kind &Target)
    -> void {
  auto server = HttpServer(
      Context, Given.Listen, HttpLimits{.Connections = 100000},
      [&Target](HttpExchange &it) { return Target.handle(it); }, refuse);
  server.start();
  auto signals = asio::signal_set(Context, SIGINT, SIGTERM);
  signals.async_wait([&](auto const &, int) { Context.stop(); });
  Context.run();
}

auto run(std::string const &Kind, Options const &Given) -> void {
  auto context = asio::io_context{1};
  if (Kind == "platform") {
    auto target = Platform(Given);
    spawnTask(context, [&] { return target.run(); });
    return serve(context, Given, target);
  }
  if (Kind == "engine") {
    auto target = ModelEngine(Given);
    spawnTask(context, [&] { return target.run(); });
    return serve(context, Given, target);
  }
  auto target = PlainService(Given.Name);
  serve(context, Given, target);
}

auto parseAndRun(int ArgumentCount, char **Arguments) -> void {
  auto line = TCLAP::CmdLine("Stand-ins for tests and the demo", ' ', "0");
  auto kinds = std::vector<std::string>{"platform", "engine", "service"};
  auto allowed = TCLAP::ValuesConstraint<std::string>(kinds);
  auto kind = TCLAP::UnlabeledValueArg<std::string>("kind", "What to be", true,
                                                    "", &allowed, line);
  auto listen = TCLAP::ValueArg<std::string>("l", "listen", "ip:port", true, "",
                                             "address", line);
  auto name = TCLAP::ValueArg<std::string>("n", "name", "Name", false, "",
                                           "name", line);
  auto platform = TCLAP::ValueArg<std::string>("p", "platform", "ip:port",
                                               false, "", "address", line);
  auto models = TCLAP::ValueArg<std::string>("m", "models", "Models at start",
                                             false, "", "list", line);
  auto decode = TCLAP::ValueArg<int>("d", "decode-ms", "Time per token", false,
                                     5, "ms", line);
  auto change = TCLAP::ValueArg<int>(
      "r", "role-change-ms", "Time of a role change", false, 500, "ms", line);
  auto lag = TCLAP::ValueArg<int>(
      "g", "list-lag-ms", "Lag of the instance list", false, 500, "ms", line);
  auto checks = TCLAP::SwitchArg("f", "checks-fencing",
                                 "Refuse old fencing numbers", line);
  line.parse(ArgumentCount, Arguments);
  auto given = Options{};
  given.Listen = listen.getValue();
  given.Name = name.getValue();
  given.Platform = platform.getValue();
  given.Models = models.getValue();
  given.DecodeMs = decode.getValue();
  given.RoleChangeMs = change.getValue();
  given.ListLagMs = lag.getValue();
  given.ChecksFencing = checks.getValue();
  run(kind.getValue(), given);
}

} // namespace

} // namespace dotterel::standin

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    dotterel::standin::parseAndRun(ArgumentCount, Arguments);
  } catch (std::exception const &problem) {
    fmt::print(stderr, "level=error event=standin-failed problem=\"{}\"\n",
               problem.what());
    return 1;
  }
  return 0;
}
