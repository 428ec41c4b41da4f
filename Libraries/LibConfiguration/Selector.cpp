#include "LibConfiguration/Selector.h"

#include "LibCore/Error.h"

#include <algorithm>
#include <cctype>
#include <fmt/format.h>

namespace dotterel {

/// Recursive descent parser of the selector grammar.
class Selector::Parser {
public:
  explicit Parser(std::string_view Input) : Input(Input) {}

  auto parse() -> std::vector<Requirement> {
    auto requirements = std::vector<Requirement>{};
    skipSpace();
    if (atEnd())
      return requirements;
    requirements.push_back(parseRequirement());
    while (accept(","))
      requirements.push_back(parseRequirement());
    if (!atEnd())
      fail("expected ','");
    return requirements;
  }

private:
  auto parseRequirement() -> Requirement {
    if (accept("!"))
      return {parseWord(), Operator::Absent, {}};
    auto label = parseWord();
    if (accept("!="))
      return {label, Operator::NotIn, {parseWord()}};
    if (accept("==") || accept("="))
      return {label, Operator::In, {parseWord()}};
    if (acceptWord("in"))
      return {label, Operator::In, parseValues()};
    if (acceptWord("notin"))
      return {label, Operator::NotIn, parseValues()};
    return {label, Operator::Exists, {}};
  }

  auto parseValues() -> std::set<std::string, std::less<>> {
    if (!accept("("))
      fail("expected '('");
    auto values = std::set<std::string, std::less<>>{parseWord()};
    while (accept(","))
      values.insert(parseWord());
    if (!accept(")"))
      fail("expected ')'");
    return values;
  }

  auto parseWord() -> std::string {
    skipSpace();
    auto begin = Position;
    while (!atEnd() && isWordCharacter(Input[Position]))
      ++Position;
    if (begin == Position)
      fail("expected a label name or value");
    return std::string(Input.substr(begin, Position - begin));
  }

  auto accept(std::string_view Token) -> bool {
    skipSpace();
    if (!Input.substr(Position).starts_with(Token))
      return false;
    Position += Token.size();
    return true;
  }

  auto acceptWord(std::string_view Word) -> bool {
    skipSpace();
    auto end = Position + Word.size();
    if (!Input.substr(Position).starts_with(Word))
      return false;
    if (end < Input.size() && isWordCharacter(Input[end]))
      return false;
    Position = end;
    return true;
  }

  auto skipSpace() -> void {
    while (!atEnd() && Input[Position] == ' ')
      ++Position;
  }

  [[nodiscard]] auto atEnd() const -> bool { return Position >= Input.size(); }

  static auto isWordCharacter(char Character) -> bool {
    return std::isalnum(static_cast<unsigned char>(Character)) != 0 ||
           Character == '-' || Character == '_' || Character == '.' ||
           Character == '/';
  }

  [[noreturn]] auto fail(std::string_view Message) const -> void {
    throw Error(ResultCode::InvalidConfiguration,
                fmt::format("selector '{}', column {}: {}", Input, Position + 1,
                            Message));
  }

  std::string_view Input;
  std::size_t Position = 0;
};

auto Selector::parse(std::string_view Text) -> Selector {
  auto selector = Selector{};
  selector.Text = std::string(Text);
  selector.Requirements = Parser(Text).parse();
  return selector;
}

auto Selector::isMet(Requirement const &Condition, LabelSet const &Labels)
    -> bool {
  auto it = Labels.find(Condition.Label);
  auto exists = it != Labels.end();
  switch (Condition.Kind) {
  case Operator::In:
    return exists && Condition.Values.contains(it->second);
  case Operator::NotIn:
    return !exists || !Condition.Values.contains(it->second);
  case Operator::Exists:
    return exists;
  case Operator::Absent:
    return !exists;
  }
  return false;
}

auto Selector::matches(LabelSet const &Labels) const -> bool {
  return std::ranges::all_of(Requirements, [&](Requirement const &Condition) {
    return isMet(Condition, Labels);
  });
}

auto Selector::labelNames() const -> std::set<std::string> {
  auto names = std::set<std::string>{};
  for (auto const &requirement : Requirements)
    names.insert(requirement.Label);
  return names;
}

} // namespace dotterel
