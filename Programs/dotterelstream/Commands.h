/// \file
/// The commands of the program. Each parses its own arguments, prints to
/// standard output, and reports failures as dotterel::Error.
#pragma once

#include <span>
#include <string>
#include <vector>

namespace dotterel {

/// Arguments after the command's name.
using ArgumentList = std::vector<std::string>;

auto serveCommand(ArgumentList const &Arguments) -> void;
auto relayCommand(ArgumentList const &Arguments) -> void;
auto explainRequestCommand(ArgumentList const &Arguments) -> void;
auto checkCommand(ArgumentList const &Arguments) -> void;
auto getCommand(ArgumentList const &Arguments) -> void;
auto applyCommand(ArgumentList const &Arguments) -> void;
auto labelCommand(ArgumentList const &Arguments) -> void;
auto statusCommand(ArgumentList const &Arguments) -> void;
auto explainCommand(ArgumentList const &Arguments) -> void;

} // namespace dotterel
