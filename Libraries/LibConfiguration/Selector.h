/// \file
/// Labels and the selectors that match them.
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// The labels of one engine, server, model, service or caller.
using LabelSet = std::map<std::string, std::string, std::less<>>;

/// A conjunction of requirements on labels. The grammar is in
/// docs/CONFIGURATION.md. Thread safety: const methods from any thread.
class Selector {
public:
  /// A selector without requirements, which matches everything.
  Selector() = default;

  /// Parses \p Text.
  /// Errors: dotterel::Error InvalidConfiguration with the column.
  [[nodiscard]] static auto parse(std::string_view Text) -> Selector;

  [[nodiscard]] auto matches(LabelSet const &Labels) const -> bool;

  /// Returns the names of the labels that the requirements refer to.
  [[nodiscard]] auto labelNames() const -> std::set<std::string>;

  /// Returns the text that the selector was parsed from.
  [[nodiscard]] auto text() const -> std::string const & { return Text; }

private:
  enum class Operator { In, NotIn, Exists, Absent };

  struct Requirement {
    std::string Label;
    Operator Kind = Operator::Exists;
    std::set<std::string, std::less<>> Values;
  };

  class Parser;

  [[nodiscard]] static auto isMet(Requirement const &Condition,
                                  LabelSet const &Labels) -> bool;

  std::string Text;
  std::vector<Requirement> Requirements;
};

} // namespace dotterel
