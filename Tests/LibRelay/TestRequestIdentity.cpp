#include "LibRelay/RequestIdentity.h"

#include <criterion/criterion.h>

namespace dotterel::relay::test {

namespace {

auto makeRequest() -> Request {
  auto request = Request{};
  request.Method = "GET";
  request.Target = "/look/x?q=1";
  request.Host = "h";
  request.Id = "r1";
  request.Fields = {{"Attempt-Id", "r1"}, {"Accept", "a"}};
  request.CallerAddress = "10.0.0.1";
  return request;
}

} // namespace

Test(RequestIdentity, RepeatWithAnotherIdIsRecognised) {
  auto repeat = makeRequest();
  repeat.Id = "r2";
  repeat.Fields[0].Value = "r2";
  repeat.TimeLimit = 1s;
  cr_assert(identify(repeat) == identify(makeRequest()));
}

Test(RequestIdentity, EachPartOfTheContentCounts) {
  auto const identity = identify(makeRequest());
  auto expectDifferent = [&](void (*Change)(Request &)) {
    auto other = makeRequest();
    Change(other);
    cr_expect_neq(identify(other).Content, identity.Content);
  };
  expectDifferent([](Request &it) { it.Method = "POST"; });
  expectDifferent([](Request &it) { it.Target = "/look/x?q=2"; });
  expectDifferent([](Request &it) { it.Host = "g"; });
  expectDifferent([](Request &it) { it.Body = "b"; });
  expectDifferent([](Request &it) { it.Model = "m"; });
  expectDifferent([](Request &it) { it.PromptSegments = {{1, 1}}; });
}

Test(RequestIdentity, CallersOfTheSameContentAreToldApart) {
  auto const identity = identify(makeRequest());
  auto other = makeRequest();
  other.CallerAddress = "10.0.0.2";
  cr_assert_eq(identify(other).Content, identity.Content);
  cr_assert_eq(identify(other).Fields, identity.Fields);
  cr_assert_neq(identify(other).Caller, identity.Caller);
  other = makeRequest();
  other.Fields[1].Value = "b";
  cr_assert_eq(identify(other).Caller, identity.Caller);
  cr_assert_neq(identify(other).Fields, identity.Fields);
}

Test(RequestIdentity, PathIsRecognisedWithAnotherQuery) {
  auto other = makeRequest();
  other.Target = "/look/x?q=2";
  auto const identity = identify(makeRequest());
  cr_assert_eq(identify(other).CallerPath, identity.CallerPath);
  cr_assert_eq(identify(other).Path, identity.Path);
  other.CallerAddress = "10.0.0.2";
  cr_assert_neq(identify(other).CallerPath, identity.CallerPath);
  cr_assert_eq(identify(other).Path, identity.Path);
  other.Body = "b";
  cr_assert_neq(identify(other).Path, identity.Path);
}

// The text of one part must not move into the next one.
// Prompts that are sent in header fields alone differ in nothing else.
Test(RequestIdentity, PromptCountsForThePathIfThereIsNoBody) {
  auto request = makeRequest();
  request.Body = "text";
  request.PromptSegments = {{1, 10}, {2, 10}};
  auto other = request;
  other.PromptSegments.back().Hash = 3;
  cr_assert_eq(identify(other).Path, identify(request).Path);
  request.Body.clear();
  other.Body.clear();
  cr_assert_neq(identify(other).Path, identify(request).Path);
}

Test(RequestIdentity, PartsAreNotConfused) {
  auto left = makeRequest();
  left.Target = "/a";
  left.Body = "bc";
  auto right = makeRequest();
  right.Target = "/ab";
  right.Body = "c";
  cr_assert_neq(identify(left).Content, identify(right).Content);
}

} // namespace dotterel::relay::test
