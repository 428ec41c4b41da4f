/// \file
/// The commands of the program. Each parses its own arguments, prints to
/// standard output, and reports failures as dotterel::Error.
#pragma once

#include <span>
#include <string>
#include <vector>

namespace dotterel {

/// Arguments after the command's name.
using Arguments = std::vector<std::string>;

auto serveCommand(Arguments const &Given) -> void;
auto relayCommand(Arguments const &Given) -> void;
auto explainRequestCommand(Arguments const &Given) -> void;
auto checkCommand(Arguments const &Given) -> void;
auto getCommand(Arguments const &Given) -> void;
auto applyCommand(Arguments const &Given) -> void;
auto labelCommand(Arguments const &Given) -> void;
auto statusCommand(Arguments const &Given) -> void;
auto explainCommand(Arguments const &Given) -> void;

} // namespace dotterel
