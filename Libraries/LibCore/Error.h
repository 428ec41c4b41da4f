/// \file
/// The exception type that carries a numbered result code.
#pragma once

#include "LibCore/ResultCode.h"

#include <stdexcept>
#include <string>

namespace dotterel {

/// An error with the result code that is shown to callers or operators.
class Error : public std::runtime_error {
public:
  Error(ResultCode Code, std::string const &Message)
      : std::runtime_error(Message), Code(Code) {}

  [[nodiscard]] auto code() const -> ResultCode { return Code; }

private:
  ResultCode Code;
};

} // namespace dotterel
