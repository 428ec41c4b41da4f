/// \file
/// One HTTP header field.
#pragma once

#include <string>

namespace dotterel {

struct HttpField {
  std::string Name;
  std::string Value;
};

} // namespace dotterel
