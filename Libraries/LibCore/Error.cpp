#include "LibCore/Error.h"

namespace dotterel {

auto describeException(std::exception_ptr const &Exception) -> std::string {
  try {
    std::rethrow_exception(Exception);
  } catch (std::exception const &error) {
    return error.what();
  } catch (...) {
    return "exception of an unknown type";
  }
}

} // namespace dotterel
