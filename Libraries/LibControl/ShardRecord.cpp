#include "LibControl/ShardRecord.h"

#include "LibCore/Error.h"

#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

auto toJson(DesiredEngineState const &State) -> json {
  auto models = json::array();
  for (auto const &it : State.Models)
    models.push_back(it.text());
  return {{"role", toString(State.Role)}, {"models", std::move(models)}};
}

auto stateFrom(json const &Input) -> DesiredEngineState {
  auto state = DesiredEngineState{};
  state.Role = parseEngineRole(Input.at("role").get<std::string>());
  for (auto const &it : Input.at("models"))
    state.Models.emplace_back(it.get<std::string>());
  return state;
}

auto shardFrom(json const &Input) -> ShardRecord {
  auto record = ShardRecord{};
  record.Holder = InstanceId(Input.at("holder").get<std::string>());
  record.HolderRun = Input.at("holderRun").get<Incarnation>();
  record.Fencing = Input.at("fencing").get<FencingNumber>();
  record.LeaseDuration =
      std::chrono::milliseconds(Input.at("leaseMs").get<std::int64_t>());
  record.WriteNumber = Input.at("write").get<std::uint64_t>();
  record.IsReleased = Input.at("released").get<bool>();
  record.LastOrder = Input.at("lastOrder").get<OrderId>();
  for (auto const &it : Input.at("orders"))
    record.Orders[EngineId(it.at("engine").get<std::string>())] = {
        it.at("id").get<OrderId>(), stateFrom(it.at("state"))};
  for (auto const &it : Input.at("formerHolders"))
    record.FormerHolders.push_back(
        {InstanceId(it.at("instance").get<std::string>()),
         it.at("run").get<Incarnation>()});
  return record;
}

auto claimFrom(json const &Input) -> ClaimRecord {
  auto record = ClaimRecord{};
  record.HolderRun = Input.at("holderRun").get<Incarnation>();
  record.Call = Input.at("call").get<CallId>();
  record.State = static_cast<ClaimState>(Input.at("state").get<std::uint8_t>());
  record.Response.Result =
      static_cast<Outcome>(Input.at("outcome").get<std::uint8_t>());
  record.Response.Code =
      static_cast<ResultCode>(Input.at("code").get<std::uint16_t>());
  record.Response.HttpStatus = Input.at("status").get<std::uint16_t>();
  record.Response.ContentType = Input.at("contentType").get<std::string>();
  record.Response.Body = Input.at("body").get<std::string>();
  return record;
}

template <typename Record, typename Function>
auto decodeWith(std::string_view Text, Function Decode)
    -> std::optional<Record> {
  auto input = json::parse(Text, nullptr, false);
  if (!input.is_object())
    return std::nullopt;
  try {
    return Decode(input);
  } catch (json::exception const &) {
    return std::nullopt;
  } catch (Error const &) {
    return std::nullopt;
  }
}

} // namespace

auto encodeShardRecord(ShardRecord const &Record) -> std::string {
  auto orders = json::array();
  for (auto const &it : Record.Orders)
    orders.push_back({{"engine", it.first.text()},
                      {"id", it.second.Id},
                      {"state", toJson(it.second.State)}});
  auto formerHolders = json::array();
  for (auto const &it : Record.FormerHolders)
    formerHolders.push_back(
        {{"instance", it.Instance.text()}, {"run", it.Run}});
  return json{{"holder", Record.Holder.text()},
              {"formerHolders", std::move(formerHolders)},
              {"holderRun", Record.HolderRun},
              {"fencing", Record.Fencing},
              {"leaseMs", toMilliseconds(Record.LeaseDuration)},
              {"write", Record.WriteNumber},
              {"released", Record.IsReleased},
              {"lastOrder", Record.LastOrder},
              {"orders", std::move(orders)}}
      .dump();
}

auto decodeShardRecord(std::string_view Text) -> std::optional<ShardRecord> {
  return decodeWith<ShardRecord>(Text, shardFrom);
}

auto encodeClaimRecord(ClaimRecord const &Record) -> std::string {
  return json{{"holderRun", Record.HolderRun},
              {"call", Record.Call},
              {"state", static_cast<std::uint8_t>(Record.State)},
              {"outcome", static_cast<std::uint8_t>(Record.Response.Result)},
              {"code", static_cast<std::uint16_t>(Record.Response.Code)},
              {"status", Record.Response.HttpStatus},
              {"contentType", Record.Response.ContentType},
              {"body", Record.Response.Body}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

auto decodeClaimRecord(std::string_view Text) -> std::optional<ClaimRecord> {
  return decodeWith<ClaimRecord>(Text, claimFrom);
}

} // namespace dotterel
