/// \file
/// Stand-ins for the systems around the product, each a process of its own:
/// the platform (object API, instance list, weight store), a model engine and
/// a plain service.
#include "InstanceList.h"
#include "LibNet/Task.h"
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
  explicit Platform(StandinOptions const &Options)
      : Instances(Options.ListLagMs) {}

  auto handle(HttpExchange &Exchange) -> Awaitable<void> {
    if (ObjectApi::owns(Exchange.path()))
      co_return co_await Objects.handle(Exchange);
    if (Exchange.path() == "/instances")
      co_return co_await Instances.handle(Exchange);
    if (Exchange.path().starts_with("/weights/"))
      co_return co_await Weights.handle(Exchange);
    auto body = parseBody(Exchange);
    Objects.control(body);
    Instances.control(body);
    Weights.control(body);
    co_await respondJson(
        Exchange, 200,
        {{"objects", Objects.counts()}, {"weights", Weights.counts()}});
  }

  auto run() -> Awaitable<void> { return Instances.run(); }

private:
  ObjectApi Objects;
  InstanceList Instances;
  WeightStore Weights;
};

template <typename T>
auto serve(asio::io_context &Context, StandinOptions const &Options, T &Standin)
    -> void {
  auto server = HttpServer(
      Context, Options.Listen, HttpLimits{.Connections = 100000},
      [&Standin](HttpExchange &it) { return Standin.handle(it); }, makeRefusal);
  server.start();
  auto signals = asio::signal_set(Context, SIGINT, SIGTERM);
  signals.async_wait([&](auto const &, int) { Context.stop(); });
  Context.run();
}

auto run(std::string const &Kind, StandinOptions const &Options) -> void {
  auto context = asio::io_context{1};
  if (Kind == "platform") {
    auto platform = Platform(Options);
    spawnTask(context, "platform", [&] { return platform.run(); });
    return serve(context, Options, platform);
  }
  if (Kind == "engine") {
    auto engine = ModelEngine(Options);
    spawnTask(context, "engine", [&] { return engine.run(); });
    return serve(context, Options, engine);
  }
  auto service = PlainService(Options.Name);
  serve(context, Options, service);
}

auto parseAndRun(int ArgumentCount, char **Arguments) -> void {
  auto commandLine =
      TCLAP::CmdLine("Stand-ins for tests and the demo", ' ', "0");
  auto kinds = std::vector<std::string>{"platform", "engine", "service"};
  auto allowed = TCLAP::ValuesConstraint<std::string>(kinds);
  auto kind = TCLAP::UnlabeledValueArg<std::string>(
      "kind", "Kind of stand-in", true, "", &allowed, commandLine);
  auto listen = TCLAP::ValueArg<std::string>(
      "l", "listen", "ip:port to listen at", true, "", "address", commandLine);
  auto name = TCLAP::ValueArg<std::string>(
      "n", "name", "Name of a plain service", false, "", "name", commandLine);
  auto platform =
      TCLAP::ValueArg<std::string>("p", "platform", "ip:port of the platform",
                                   false, "", "address", commandLine);
  auto models = TCLAP::ValueArg<std::string>(
      "m", "models", "Models loaded at start, separated by commas", false, "",
      "list", commandLine);
  auto decode = TCLAP::ValueArg<int>("d", "decode-ms", "Time to decode a token",
                                     false, 5, "ms", commandLine);
  auto change =
      TCLAP::ValueArg<int>("r", "role-change-ms", "Duration of a role change",
                           false, 500, "ms", commandLine);
  auto lag =
      TCLAP::ValueArg<int>("g", "list-lag-ms", "Lag of the instance list",
                           false, 500, "ms", commandLine);
  auto checks =
      TCLAP::SwitchArg("f", "checks-fencing",
                       "Refuse orders with an old fencing number", commandLine);
  commandLine.parse(ArgumentCount, Arguments);
  auto options = StandinOptions{};
  options.Listen = listen.getValue();
  options.Name = name.getValue();
  options.Platform = platform.getValue();
  options.Models = models.getValue();
  options.DecodeMs = decode.getValue();
  options.RoleChangeMs = change.getValue();
  options.ListLagMs = lag.getValue();
  options.ChecksFencing = checks.getValue();
  run(kind.getValue(), options);
}

} // namespace

} // namespace dotterel::standin

auto main(int ArgumentCount, char **Arguments) -> int {
  try {
    dotterel::standin::parseAndRun(ArgumentCount, Arguments);
  } catch (std::exception const &error) {
    fmt::print(stderr, "level=error event=standin-failed error=\"{}\"\n",
               error.what());
    return 1;
  }
  return 0;
}
