#include "LibGateway/RunningGateway.h"

#include <algorithm>
#include <csignal>
#include <fmt/format.h>

namespace dotterel::test {

namespace {

auto call(int Port, HttpRequest Request) -> HttpResult {
  auto context = asio::io_context{1};
  auto result = HttpResult{};
  asio::co_spawn(context, exchange(address(Port), std::move(Request), 3s),
                 [&](std::exception_ptr const &, HttpResult Result) {
                   result = std::move(Result);
                 });
  context.run();
  return result;
}

} // namespace

auto address(int Port) -> std::string {
  return fmt::format("127.0.0.1:{}", Port);
}

auto status(HttpResult const &Result) -> unsigned {
  return Result.Response ? Result.Response->Status : 0;
}

auto get(int Port, std::string Path) -> HttpResult {
  return call(Port, {"GET", std::move(Path), "", {}, ""});
}

auto post(int Port, std::string Path, std::vector<HttpField> Fields,
          std::string_view Body) -> HttpResult {
  Fields.push_back({"Host", "h.example"});
  if (std::ranges::find(Fields, "Attempt-Id", &HttpField::Name) == Fields.end())
    Fields.push_back({"Attempt-Id", "9c41"});
  return call(Port, {"POST", std::move(Path), "", std::move(Fields), Body});
}

RunningGateway::RunningGateway(
    std::string ServerAddress,
    std::function<void(FakePlatform &)> const &Prepare)
    : Platform(std::move(ServerAddress)) {
  if (Prepare)
    Prepare(Platform);
  auto text = fmt::format(
      R"({{"instance":"i0","failureDomain":"z1","host":"127.0.0.1",
             "callerAddress":"{}","readinessAddress":"{}",
             "directoryAddress":"{}","peerPort":{},"storeAddress":"{}",
             "metricsPort":{},"retrySlack":10000,"logLevel":"error"}})",
      address(CallerPort), address(ReadyPort), address(DirectoryPort), PeerPort,
      Platform.storeAddress(), MetricsPort);
  TestedGateway.emplace(GatewaySettings::parse(text), "unused");
  Thread = std::thread([this] { TestedGateway->run(); });
  for (auto n = 0; n < 200 && status(get(ReadyPort, "/-/ready")) != 200; ++n)
    std::this_thread::sleep_for(20ms);
}

RunningGateway::~RunningGateway() {
  if (Thread.joinable())
    stop();
}

auto RunningGateway::stop() -> void {
  std::raise(SIGTERM);
  Thread.join();
}

auto RunningGateway::request(std::string const &Route,
                             std::vector<HttpField> Fields,
                             std::string_view Body) -> HttpResult {
  return post(CallerPort, "/" + Route + "/x?q=1", std::move(Fields), Body);
}

} // namespace dotterel::test
