#include "LibConfiguration/Settings.h"

#include "LibConfiguration/FieldReader.h"
#include "LibCore/Error.h"

#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace dotterel {

namespace {

constexpr auto SettingsSchema = std::string_view{R"({
  "type": "object",
  "required": ["instance", "failureDomain", "callerAddress", "peerAddress",
               "objectApiAddress", "peerKey"],
  "additionalProperties": false,
  "properties": {
    "instance": {"type": "string", "minLength": 1, "maxLength": 64,
      "description": "Name of this instance, unique in the fleet."},
    "failureDomain": {"type": "string", "minLength": 1, "maxLength": 64,
      "description": "Failure domain of this instance."},
    "callerAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$",
      "description": "IPv4 address and port for callers and operators."},
    "peerAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$",
      "description": "IPv4 address and port for other instances."},
    "objectApiAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$",
      "description": "IPv4 address and port of the object API."},
    "peerKey": {"type": "string", "minLength": 16, "maxLength": 256,
      "description": "Secret shared by all instances."},
    "logLevel": {"enum": ["debug", "info", "warning", "error"],
      "default": "info", "description": "Minimum level of logged messages."},
    "bodyLimitBytes": {"type": "integer", "minimum": 1024,
      "maximum": 67108864, "default": 4194304,
      "description": "Maximum size of a request body, in bytes."},
    "headerLimitBytes": {"type": "integer", "minimum": 1024,
      "maximum": 65536, "default": 16384,
      "description": "Maximum size of a header section, in bytes."},
    "connectionLimit": {"type": "integer", "minimum": 8, "maximum": 100000,
      "default": 8192,
      "description": "Maximum number of connections from callers."},
    "requestReadTimeoutMs": {"type": "integer", "minimum": 100,
      "maximum": 600000, "default": 10000,
      "description": "Timeout for receiving one request, in ms."},
    "writeTimeoutMs": {"type": "integer", "minimum": 100, "maximum": 600000,
      "default": 10000,
      "description": "Timeout for one write to a caller, in ms."},
    "leaseDurationMs": {"type": "integer", "minimum": 500, "maximum": 120000,
      "default": 6000, "description": "Duration of a shard's lease, in ms."},
    "leaveGraceMs": {"type": "integer", "minimum": 0, "maximum": 60000,
      "default": 2000,
      "description": "How long a leaving instance still accepts calls, in ms."},
    "maximumClockDrift": {"type": "number", "minimum": 0, "maximum": 0.2,
      "default": 0.02,
      "description": "Maximum relative difference between two clock rates."}
  }
})"};

auto readLimits(FieldReader const &Reader) -> InputLimits {
  auto limits = InputLimits{};
  limits.BodyBytes = Reader.read<std::size_t>("bodyLimitBytes");
  limits.HeaderBytes = Reader.read<std::size_t>("headerLimitBytes");
  limits.Connections = Reader.read<std::size_t>("connectionLimit");
  limits.RequestReadTimeout = Reader.readMilliseconds("requestReadTimeoutMs");
  limits.WriteTimeout = Reader.readMilliseconds("writeTimeoutMs");
  return limits;
}

} // namespace

auto Settings::describeFields() -> std::string {
  return describeSchema(SettingsSchema);
}

auto Settings::parse(std::string_view Text) -> Settings {
  auto reader = FieldReader(Text, SettingsSchema);
  auto settings = Settings{};
  settings.Instance = InstanceId(reader.read<std::string>("instance"));
  settings.Domain = FailureDomain(reader.read<std::string>("failureDomain"));
  settings.CallerAddress = reader.read<std::string>("callerAddress");
  settings.PeerAddress = reader.read<std::string>("peerAddress");
  settings.ObjectApiAddress = reader.read<std::string>("objectApiAddress");
  settings.PeerKey = reader.read<std::string>("peerKey");
  settings.LogLevel = reader.read<std::string>("logLevel");
  settings.Limits = readLimits(reader);
  settings.LeaseDuration = reader.readMilliseconds("leaseDurationMs");
  settings.LeaveGrace = reader.readMilliseconds("leaveGraceMs");
  settings.MaximumClockDrift = reader.read<double>("maximumClockDrift");
  return settings;
}

auto Settings::load(std::string const &Path) -> Settings {
  return parse(readFile(Path));
}

auto readFile(std::string const &Path) -> std::string {
  auto file = std::ifstream(Path, std::ios::binary);
  if (!file)
    throw Error(ResultCode::InvalidUsage,
                fmt::format("cannot read file '{}'", Path));
  auto text = std::ostringstream{};
  text << file.rdbuf();
  return text.str();
}

} // namespace dotterel
