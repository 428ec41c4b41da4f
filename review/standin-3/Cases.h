/// \file
/// The cases that are shown by scripts. Each returns the exit status of its
/// script: 1 if the rule was broken, 0 if it held, 2 if it could not run.
#pragma once

#include <string>

namespace review {

/// \p Folder is a temporary folder, \p RecordPath the file of the record.
[[nodiscard]] auto runDrain(std::string const &Folder,
                            std::string const &RecordPath) -> int;

[[nodiscard]] auto runMisroute(std::string const &Folder,
                               std::string const &RecordPath) -> int;

[[nodiscard]] auto runCoding(std::string const &Folder,
                             std::string const &RecordPath) -> int;

[[nodiscard]] auto runTrailers(std::string const &Folder,
                               std::string const &RecordPath) -> int;

} // namespace review
