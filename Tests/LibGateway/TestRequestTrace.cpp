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

Test(RequestStory, NamesLeavingAndPausedServersAsTheCause) {
  auto log = std::istringstream(
      "time_ms=1 event=attempt-refused id=a attempt=1 server=i-7 status=503 "
      "leaving=false pause_ms=3000\n"
      "time_ms=2 event=request-not-placed id=a service=s1 servers=4 leaving=1 "
      "paused=3 retry_after_ms=2900\n"
      "time_ms=2 event=request-finished id=a code=no-backend-available "
      "status=503 attempts=1\n");
  cr_assert(traceRequest({&log}, "a").Cause ==
            "ended as no-backend-available: no server of s1 was usable; of 4 "
            "servers 1 are leaving and 3 asked for a pause");
}

Test(RequestStory, MatchesWholeIdsOnly) {
  auto log = std::istringstream("time_ms=1 event=request-placed id=ab\n");
  cr_assert(traceRequest({&log}, "a").Lines.empty());
  cr_assert(logValue("xid=1 id=2", "id") == "2");
}

} // namespace dotterel::test
