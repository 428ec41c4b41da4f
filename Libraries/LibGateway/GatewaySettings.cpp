#include "LibGateway/GatewaySettings.h"

#include "LibConfiguration/FieldReader.h"
#include "LibConfiguration/Settings.h"
#include "LibCore/Error.h"
#include "platform/LeaderCalls.h"

#include <fmt/format.h>

namespace dotterel {

namespace {

constexpr auto Schema = std::string_view{R"({
  "type": "object",
  "required": ["instance", "failureDomain", "host", "callerAddress",
               "readinessAddress", "directoryAddress", "peerPort",
               "storeAddress"],
  "properties": {
    "instance": {"type": "string", "minLength": 1, "maxLength": 128,
      "description": "Name of this instance, unique in the fleet."},
    "failureDomain": {"type": "string", "minLength": 1, "maxLength": 128,
      "description": "Failure domain of this instance."},
    "host": {"type": "string", "pattern": "^[0-9.]+$",
      "description": "IPv4 address of this instance."},
    "callerAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$",
      "description": "IPv4 address and port for callers."},
    "readinessAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$",
      "description": "IPv4 address and port of the readiness check."},
    "directoryAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$",
      "description": "IPv4 address and port at which callers ask which instances to use."},
    "peerPort": {"type": "integer", "minimum": 1, "maximum": 65535,
      "description": "UDP port for reports from other instances."},
    "storeAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$",
      "description": "IPv4 address and port of the platform's store."},
    "metricsPort": {"type": "integer", "minimum": 0, "maximum": 65535,
      "default": 0, "description": "TCP port for metrics; 0 for none."},
    "logLevel": {"enum": ["debug", "info", "warning", "error"],
      "default": "info", "description": "Lowest level that is logged."},
    "memoryMb": {"type": "integer", "minimum": 64, "maximum": 1048576,
      "default": 512, "description": "Memory that the process may use, in MB; a quarter of it is for what callers send and have not read."},
    "descriptors": {"type": "integer", "minimum": 256, "maximum": 1048576,
      "default": 4096, "description": "File descriptors that the process may use; a third of them is for callers."},
    "processorShare": {"type": "number", "minimum": 0.001, "maximum": 1024,
      "default": 1, "description": "Processor cores of this instance; callers are distributed in proportion to it."},
    "retryRatio": {"type": "number", "minimum": 0, "maximum": 10,
      "default": 0.2, "description": "Retries per request that all instances together may send to a service."},
    "retrySlack": {"type": "number", "minimum": 0, "maximum": 1000000,
      "default": 100, "description": "Additional retries of all instances together in one window."},
    "retryWindowSeconds": {"type": "number", "minimum": 0.1, "maximum": 3600,
      "default": 10, "description": "Length of the retry window, in s."},
    "serverHeartbeatMs": {"type": "integer", "minimum": 10,
      "maximum": 600000, "default": 1200,
      "description": "Time between two heartbeats of a server to the store, in ms."},
    "leavingServerMs": {"type": "integer", "minimum": 100, "maximum": 600000,
      "default": 2000, "description": "Time after which a leaving server must receive no more requests, in ms."},
    "revocationBoundMs": {"type": "integer", "minimum": 1000,
      "maximum": 600000,
      "description": "Time after the removal of a customer's key from which no instance serves it, in ms; without it, instances that are cut off may lag behind."},
    "platformAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$",
      "description": "IPv4 address and port of the platform's interface for usage reports and orders of servers."},
    "leaderTasks": {"type": "array", "items": {"type": "string"}, "default": [],
      "description": "Tasks of the leader, by the platform's names."},
    "onDemandServerShare": {"type": "number", "minimum": 0, "maximum": 1,
      "default": 0.2, "description": "Servers that stay on-demand ones where others are reclaimable, as a share of those at the start."},
    "usageWindowSeconds": {"type": "number", "minimum": 1, "maximum": 86400,
      "default": 60, "description": "Length of the windows in which the usage of customers is reported, in s."},
    "usageDeadlineSeconds": {"type": "number", "minimum": 1, "maximum": 86400,
      "default": 10, "description": "Time from the end of a window until its usage report is due, in s."},
    "firstStart": {"type": "boolean", "default": false,
      "description": "Whether the whole system starts for the first time, before any traffic."},
    "prefillShare": {"type": "number", "minimum": 0, "maximum": 1,
      "default": 0.65, "description": "Share of a service's engines that run prefill until traffic shows the demand."},
    "leaveBoundSeconds": {"type": "number", "minimum": 0.5, "maximum": 600,
      "default": 8, "description": "Time from SIGTERM to the end of the process, in s."},
    "steeringLifetimeSeconds": {"type": "number", "minimum": 0.1, "maximum": 600,
      "default": 3, "description": "Longest time that a caller may keep the addresses it was given, in s."}
  }
})"};

/// Upper bound on the lifetime of steering responses, whatever the settings
/// allow, so that callers soon notice that an instance has left.
constexpr auto MaximumSteeringLifetimeSeconds = 3.0;

auto readOptions(FieldReader const &Reader) -> relay::Options {
  auto options = relay::Options{};
  options.Retries.Ratio = Reader.read<double>("retryRatio");
  options.Retries.Slack = Reader.read<double>("retrySlack");
  options.Retries.Window =
      fromSeconds(Reader.read<double>("retryWindowSeconds"));
  options.ServerHeartbeatInterval =
      Reader.readMilliseconds("serverHeartbeatMs");
  options.MaximumWatcherAge = Reader.readMilliseconds("leavingServerMs") / 2;
  options.IsFirstStart = Reader.read<bool>("firstStart");
  options.PrefillShare = Reader.read<double>("prefillShare");
  options.LeaveTimeout = fromSeconds(Reader.read<double>("leaveBoundSeconds"));
  options.SteeringLifetime =
      fromSeconds(std::min(MaximumSteeringLifetimeSeconds,
                           Reader.read<double>("steeringLifetimeSeconds")));
  if (Reader.contains("revocationBoundMs"))
    options.RevocationBound = Reader.readMilliseconds("revocationBoundMs");
  auto const tasks = platform::readLeaderTasks(
      Reader.read<std::vector<std::string>>("leaderTasks"));
  if ((tasks.ReportsUsage || tasks.OrdersServers) &&
      !Reader.contains("platformAddress"))
    throw Error(ResultCode::InvalidSettings,
                "leaderTasks needs platformAddress, which is missing");
  options.OrdersServers = tasks.OrdersServers;
  options.OnDemandServerShare = Reader.read<double>("onDemandServerShare");
  if (tasks.ReportsUsage)
    options.UsageWindow =
        fromSeconds(Reader.read<double>("usageWindowSeconds"));
  options.UsageDeadline =
      fromSeconds(Reader.read<double>("usageDeadlineSeconds"));
  return options;
}

} // namespace

auto GatewaySettings::describeFields() -> std::string {
  return describeSchema(Schema);
}

auto GatewaySettings::parse(std::string_view Text) -> GatewaySettings {
  auto reader = FieldReader(Text, Schema);
  auto settings = GatewaySettings{};
  settings.Self.Instance = reader.read<std::string>("instance");
  settings.Self.Domain = reader.read<std::string>("failureDomain");
  settings.Self.CallerAddress = reader.read<std::string>("callerAddress");
  settings.Self.PeerAddress =
      fmt::format("{}:{}", reader.read<std::string>("host"),
                  reader.read<std::uint16_t>("peerPort"));
  settings.Self.Weight = reader.read<double>("processorShare");
  settings.ReadinessAddress = reader.read<std::string>("readinessAddress");
  settings.DirectoryAddress = reader.read<std::string>("directoryAddress");
  settings.StoreAddress = reader.read<std::string>("storeAddress");
  if (reader.contains("platformAddress"))
    settings.PlatformAddress = reader.read<std::string>("platformAddress");
  settings.MemoryMegabytes = reader.read<std::size_t>("memoryMb");
  settings.Descriptors = reader.read<std::size_t>("descriptors");
  settings.MetricsPort = reader.read<std::uint16_t>("metricsPort");
  settings.LogLevel = reader.read<std::string>("logLevel");
  settings.Options = readOptions(reader);
  return settings;
}

auto GatewaySettings::load(std::string const &Path) -> GatewaySettings {
  return parse(readFile(Path));
}

} // namespace dotterel
