/// \file
/// The exception type that carries a numbered result code.
#pragma once

#include "LibCore/ResultCode.h"

#include <exception>
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

/// Returns what \p Exception says. Precondition: it is not null.
/// Thread safety: any thread.
[[nodiscard]] auto describeException(std::exception_ptr const &Exception)
    -> std::string;

} // namespace dotterel
