// Segments of prompts in quarantine are kept in the store for instances that
// start later.
#include "LibCore/Hash.h"
#include "LibGateway/RunningGateway.h"
#include "LibRelay/SuspectQuarantine.h"
#include "platform/Store.h"

#include <thread>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

/// Returns the name of the object for the segment \p Id of prompts for the
/// model "m".
auto objectName(std::string_view Id) -> std::string {
  auto request = relay::Request{};
  request.Model = "m";
  request.PromptSegments = {{hashText(Id), 100}, {1, 1}};
  return platform::quarantineName({relay::sharedSegments(request).at(0)});
}

auto promptFields(std::string const &Id) -> std::vector<HttpField> {
  return {{"Model", "m"},
          {"Token-Counts", "300,10"},
          {"Prompt-Prefix", Id + ":100,aa:100,bb:100"}};
}

template <typename Function> auto waitUntil(Function IsDone) -> bool {
  for (auto n = 0; n < 100; ++n) {
    if (IsDone())
      return true;
    std::this_thread::sleep_for(50ms);
  }
  return false;
}

auto hasQuarantine() -> bool {
  auto metrics = get(MetricsPort, "/metrics");
  return metrics.Response &&
         metrics.Response->Body.find("{name=\"quarantined_segments\"} 1") !=
             std::string::npos;
}

/// Restores the store to a copy that names the segment "bad", and waits until
/// the gateway has listed it.
auto restoreWithQuarantine(RunningGateway &Target) -> void {
  Target.Platform.setMode(ServerMode::Stream);
  Target.Platform.restoreStore();
  Target.Platform.addQuarantine("unreadable");
  Target.Platform.addQuarantine(objectName("bad"));
  cr_assert(waitUntil(hasQuarantine));
}

} // namespace

Test(Gateway, StoredQuarantineIsApplied) {
  auto gateway = RunningGateway();
  restoreWithQuarantine(gateway);
  auto refused = gateway.request("stream", promptFields("bad"));
  cr_assert_eq(status(refused), 503);
  cr_assert_eq(gateway.Platform.served(), 0);
  cr_assert_eq(status(gateway.request("stream", promptFields("good"))), 200);
}

Test(Gateway, QuarantineIsWrittenAgainAfterTheStoreWasRestored) {
  auto gateway = RunningGateway();
  restoreWithQuarantine(gateway);
  gateway.Platform.restoreStore();
  cr_assert(waitUntil([&] {
    return gateway.Platform.quarantine().contains(objectName("bad"));
  }));
}

} // namespace dotterel::test
