#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <cstdlib>
#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <criterion/criterion.h>

namespace dotterel::test {

Test(Log, QuotesSpecialCharacters) {
  cr_assert(quoteLogValue("plain-value") == "plain-value");
  cr_assert(quoteLogValue("") == "\"\"");
  cr_assert(quoteLogValue("a b=\"c\"\nd") == "\"a b=\\\"c\\\" d\"");
}

Test(Log, RejectsUnknownLevels) {
  cr_assert_eq(parseLogLevel("warning"), LogLevel::Warning);
  cr_assert_throw((void)parseLogLevel("loud"), Error);
}

Test(Log, CountsDroppedLinesAndDoesNotBlockIfReaderStalls, .timeout = 10) {
  int ends[2];
  cr_assert_eq(::pipe(ends), 0);
  auto output = ::dup(STDOUT_FILENO);
  ::dup2(ends[1], STDOUT_FILENO);
  // Much more data than a pipe buffer holds.
  for (auto n = 0; n < 1500; ++n)
    log(LogLevel::Info, "filling", {{"text", std::string(200, 'x')}});
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  auto drain = [&] {
    auto text = std::string{};
    char buf[4096];
    for (auto n = ::read(ends[0], buf, sizeof buf); n > 0;
         n = ::read(ends[0], buf, sizeof buf))
      text.append(buf, static_cast<std::size_t>(n));
    return text;
  };
  auto first = drain();
  log(LogLevel::Info, "after", {});
  auto second = drain();
  ::dup2(output, STDOUT_FILENO);
  cr_assert(first.find("event=filling") != std::string::npos);
  cr_assert(second.find("event=log-lines-dropped count=") != std::string::npos);
  cr_assert(second.find("event=after") != std::string::npos);
}

} // namespace dotterel::test
