/// \file
/// The commands "get", "apply" and "label" read and change the configuration
/// in the object API. A change is accepted only if the revision that it was
/// made for is still the current one.
#include "CommandLine.h"

#include "LibConfiguration/FleetConfiguration.h"
#include "LibConfiguration/Settings.h"
#include "LibInstance/PlatformClient.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using nlohmann::json;

constexpr auto Indentation = 2;

/// The address of the object API, an option of all three commands.
class ObjectApiOption {
public:
  explicit ObjectApiOption(CommandLine &Parser)
      : Address("a", "object-api", "ip:port of the object API", true, "",
                "address", Parser) {}

  auto read() -> StoredObject {
    auto object = runBlocking(
        readObject(Address.getValue(), std::string(ConfigurationPath)));
    if (!object)
      throw Error(ResultCode::ObjectApiUnavailable,
                  "the object API did not answer");
    return *object;
  }

  /// Compiles \p Text, writes it if the current revision is \p Expected, and
  /// returns the new revision.
  /// Errors: dotterel::Error InvalidConfiguration, RevisionConflict or
  /// ObjectApiUnavailable.
  auto store(Revision Expected, std::string const &Text) -> Revision {
    auto compiled = FleetConfiguration::compile(Text, Expected + 1);
    auto written = runBlocking(writeObject(
        Address.getValue(), std::string(ConfigurationPath), Expected, Text));
    if (written.Result == WriteResult::Committed) {
      for (auto const &it : compiled->warnings())
        fmt::print(stderr, "warning: {}\n", it);
      return written.Object.Version;
    }
    if (written.Result == WriteResult::Conflict)
      throw Error(
          ResultCode::RevisionConflict,
          fmt::format("the change was made for revision {}, but revision {} is "
                      "in force; nothing was changed\n--- revision {} in "
                      "force:\n{}\n--- refused:\n{}",
                      Expected, written.Object.Version, written.Object.Version,
                      written.Object.Body, Text));
    return resolve(Text);
  }

private:
  /// Reads the object back after a write whose response was lost.
  auto resolve(std::string const &Text) -> Revision {
    auto current = read();
    if (current.Body == Text)
      return current.Version;
    throw Error(ResultCode::ObjectApiUnavailable,
                fmt::format("the object API did not answer; revision {} is in "
                            "force and does not contain the change",
                            current.Version));
  }

  TCLAP::ValueArg<std::string> Address;
};

struct KindName {
  std::string_view Kind;
  std::string_view List;
  std::string_view NameField;
};

constexpr auto KindNames = std::to_array<KindName>({
    {"engine", "engines", "id"},
    {"server", "servers", "id"},
    {"service", "services", "name"},
    {"model", "models", "name"},
    {"caller", "callers", "name"},
});

auto findItem(json &Document, std::string const &Kind, std::string const &Name)
    -> json & {
  for (auto const &it : KindNames) {
    if (it.Kind != Kind)
      continue;
    for (auto &item : Document.at(std::string(it.List)))
      if (item.at(std::string(it.NameField)) == Name)
        return item;
    throw Error(ResultCode::ObjectNotFound,
                fmt::format("the configuration has no {} '{}'", Kind, Name));
  }
  throw Error(ResultCode::InvalidUsage,
              fmt::format("unknown kind '{}'; expected engine, server, "
                          "service, model or caller",
                          Kind));
}

/// Applies "key=value" (set) or "key-" (remove).
auto editLabel(json &Labels, std::string const &Edit) -> void {
  auto equals = Edit.find('=');
  if (equals != std::string::npos && equals > 0) {
    Labels[Edit.substr(0, equals)] = Edit.substr(equals + 1);
    return;
  }
  if (Edit.size() > 1 && Edit.ends_with('-')) {
    Labels.erase(Edit.substr(0, Edit.size() - 1));
    return;
  }
  throw Error(
      ResultCode::InvalidUsage,
      fmt::format("label edit '{}' is neither key=value nor key-", Edit));
}

} // namespace

auto getCommand(ArgumentList const &Arguments) -> void {
  auto commandLine =
      CommandLine("get", "Prints the accepted configuration; its "
                         "revision is printed to standard error.");
  auto option = ObjectApiOption(commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  auto object = option.read();
  if (object.Version == 0)
    throw Error(ResultCode::ObjectNotFound,
                "the object API holds no configuration yet");
  fmt::print(stderr, "revision {}\n", object.Version);
  fmt::print("{}\n", object.Body);
}

auto applyCommand(ArgumentList const &Arguments) -> void {
  auto commandLine =
      CommandLine("apply", "Checks a configuration and makes it the "
                           "accepted one if the revision still "
                           "matches.");
  auto option = ObjectApiOption(commandLine);
  auto path = TCLAP::ValueArg<std::string>("f", "file", "Configuration", true,
                                           "", "file", commandLine);
  auto revision = TCLAP::ValueArg<Revision>(
      "r", "revision",
      "Revision that the file is based on, as printed by get; 0 for the "
      "first",
      true, 0, "number", commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  auto accepted = option.store(revision.getValue(), readFile(path.getValue()));
  fmt::print("revision {}\n", accepted);
}

auto labelCommand(ArgumentList const &Arguments) -> void {
  auto commandLine =
      CommandLine("label", "Sets (key=value) or removes (key-) labels "
                           "of one engine, server, service, model or "
                           "caller.");
  auto option = ObjectApiOption(commandLine);
  auto kind = TCLAP::UnlabeledValueArg<std::string>(
      "kind", "engine, server, service, model or caller", true, "", "kind",
      commandLine);
  auto name = TCLAP::UnlabeledValueArg<std::string>("name", "Its name", true,
                                                    "", "name", commandLine);
  auto edits = TCLAP::UnlabeledMultiArg<std::string>(
      "edits", "key=value or key-", true, "edit", commandLine);
  if (!commandLine.parseArguments(Arguments))
    return;
  auto object = option.read();
  if (object.Version == 0)
    throw Error(ResultCode::ObjectNotFound,
                "the object API holds no configuration yet");
  auto document = json::parse(object.Body);
  auto &item = findItem(document, kind.getValue(), name.getValue());
  if (!item.contains("labels"))
    item["labels"] = json::object();
  for (auto const &it : edits.getValue())
    editLabel(item["labels"], it);
  auto accepted = option.store(object.Version, document.dump(Indentation));
  fmt::print("revision {}\n", accepted);
}

} // namespace dotterel
