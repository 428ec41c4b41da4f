#include "LibGateway/RequestTrace.h"

#include <sstream>

#include <criterion/criterion.h>

namespace dotterel::test {

Test(RequestStory, PutsLinesOfSeveralInstancesInOrder) {
  auto first = std::istringstream(
      "time_ms=30 level=info event=request-finished id=a code=answer-lost "
      "status=502 attempts=1\n"
      "time_ms=5 level=info event=request-placed id=b attempt=1\n");
  auto second = std::istringstream(
      "time_ms=10 level=info event=request-placed id=a attempt=1\n"
      "time_ms=20 level=warning event=attempt-failed id=a server=i-7 "
      "reason=\"no answer\"\n");
  auto trace = traceRequest({&first, &second}, "a");
  cr_assert_eq(trace.Lines.size(), 3);
  cr_assert(logValue(trace.Lines[0], "event") == "request-placed");
  cr_assert(logValue(trace.Lines[1], "reason") == "no answer");
  cr_assert(trace.Cause == "server i-7 gave no whole answer (no answer) and "
                           "the request may not be repeated");
}

Test(RequestStory, SaysWhenNothingIsKnown) {
  auto log = std::istringstream("time_ms=1 event=request-placed id=ab\n");
  cr_assert(traceRequest({&log}, "a").Lines.empty());
  cr_assert(logValue("xid=1 id=2", "id") == "2");
}

} // namespace dotterel::test
