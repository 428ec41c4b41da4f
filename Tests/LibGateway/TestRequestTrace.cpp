#include "LibGateway/RequestTrace.h"

#include <sstream>

#include <criterion/criterion.h>

namespace dotterel::test {

Test(RequestStory, SortsLinesOfSeveralInstancesByTime) {
  auto first = std::istringstream(
      "time_ms=30 level=info event=request-finished id=a code=answer-lost "
      "status=502 attempts=1\n"
      "time_ms=5 level=info event=request-placed id=b attempt=1\n");
  auto second = std::istringstream(
      "time_ms=10 level=info event=request-placed id=a attempt=1\n"
      "time_ms=20 level=warning event=attempt-failed id=a server=i-7 "
      "reason=\"no response\"\n");
  auto trace = traceRequest({&first, &second}, "a");
  cr_assert_eq(trace.Lines.size(), 3);
  cr_assert(logValue(trace.Lines[0], "event") == "request-placed");
  cr_assert(logValue(trace.Lines[1], "reason") == "no response");
  cr_assert(trace.Cause ==
            "server i-7 sent no complete response (no response) and "
            "the request must not be repeated");
}

Test(RequestStory, MatchesWholeIdsOnly) {
  auto log = std::istringstream("time_ms=1 event=request-placed id=ab\n");
  cr_assert(traceRequest({&log}, "a").Lines.empty());
  cr_assert(logValue("xid=1 id=2", "id") == "2");
}

} // namespace dotterel::test
