#include "LibCore/Error.h"
#include "LibCore/Log.h"

#include <criterion/criterion.h>

namespace dotterel::test {

Test(Log, QuotesWhatWouldBreakALine) {
  cr_assert(quoteLogValue("plain-value") == "plain-value");
  cr_assert(quoteLogValue("") == "\"\"");
  cr_assert(quoteLogValue("a b=\"c\"\nd") == "\"a b=\\\"c\\\" d\"");
}

Test(Log, RefusesUnknownLevels) {
  cr_assert_eq(parseLogLevel("warning"), LogLevel::Warning);
  cr_assert_throw((void)parseLogLevel("loud"), Error);
}

} // namespace dotterel::test
