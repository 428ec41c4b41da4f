/// \file
/// "get", "apply" and "label" read and change the configuration in the object
/// API. A change is accepted only on the revision that it was made for.
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

/// The option that every one of these commands takes.
class ObjectApiOption {
public:
  explicit ObjectApiOption(CommandLine &Line)
      : Address("a", "object-api", "ip:port of the object API", true, "",
                "address", Line) {}

  auto read() -> StoredObject {
    auto object = runBlocking(
        readObject(Address.getValue(), std::string(ConfigurationPath)));
    if (!object)
      throw Error(ResultCode::ObjectApiUnavailable,
                  "the object API did not answer");
    return *object;
  }

  /// Compiles \p Text and stores it on revision \p Expected.
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
  /// Reads back after a write whose answer was lost.
  auto resolve(std::string const &Text) -> Revision {
    auto current = read();
    if (current.Body == Text)
      return current.Version;
    throw Error(ResultCode::ObjectApiUnavailable,
                fmt::format("the object API did not answer; revision {} is in "
                            "force and does not hold the change",
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
                fmt::format("there is no {} '{}'", Kind, Name));
  }
  throw Error(ResultCode::InvalidUsage,
              fmt::format("'{}' is none of engine, server, service, model, "
                          "caller",
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
  throw Error(ResultCode::InvalidUsage,
              fmt::format("'{}' is neither key=value nor key-", Edit));
}

} // namespace

auto getCommand(Arguments const &Given) -> void {
  auto line = CommandLine("get", "Prints the accepted configuration; its "
                                 "revision goes to standard error.");
  auto option = ObjectApiOption(line);
  if (!line.parseArguments(Given))
    return;
  auto object = option.read();
  if (object.Version == 0)
    throw Error(ResultCode::ObjectNotFound, "there is no configuration yet");
  fmt::print(stderr, "revision {}\n", object.Version);
  fmt::print("{}\n", object.Body);
}

auto applyCommand(Arguments const &Given) -> void {
  auto line = CommandLine("apply", "Checks a configuration and makes it the "
                                   "accepted one.");
  auto option = ObjectApiOption(line);
  auto path = TCLAP::ValueArg<std::string>("f", "file", "Configuration", true,
                                           "", "file", line);
  auto revision = TCLAP::ValueArg<Revision>(
      "r", "revision",
      "Revision that the file was made from, as printed by get; 0 for the "
      "first",
      true, 0, "number", line);
  if (!line.parseArguments(Given))
    return;
  auto accepted = option.store(revision.getValue(), readFile(path.getValue()));
  fmt::print("revision {}\n", accepted);
}

auto labelCommand(Arguments const &Given) -> void {
  auto line = CommandLine("label", "Sets (key=value) or removes (key-) labels "
                                   "of one engine, server, service, model or "
                                   "caller.");
  auto option = ObjectApiOption(line);
  auto kind = TCLAP::UnlabeledValueArg<std::string>(
      "kind", "engine, server, service, model or caller", true, "", "kind",
      line);
  auto name = TCLAP::UnlabeledValueArg<std::string>("name", "Its name", true,
                                                    "", "name", line);
  auto edits = TCLAP::UnlabeledMultiArg<std::string>(
      "edits", "key=value or key-", true, "edit", line);
  if (!line.parseArguments(Given))
    return;
  auto object = option.read();
  if (object.Version == 0)
    throw Error(ResultCode::ObjectNotFound, "there is no configuration yet");
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
