#include "LibInstance/EventStream.h"

#include <vector>

#include <criterion/criterion.h>

namespace dotterel::test {

Test(EventStream, ParsesInputSplitAtAnyByte) {
  auto text = std::string{"id: 1\ndata: {\"a\":1}\n\nid: 2\r\ndata: x\ndata: "
                          "y\n\ndata: [DONE]\n\n"};
  for (auto cut = std::size_t{0}; cut <= text.size(); ++cut) {
    auto parser = EventStreamParser{};
    auto events = std::vector<StreamEvent>{};
    for (auto const &part : {text.substr(0, cut), text.substr(cut)}) {
      parser.buffer() += part;
      while (auto event = parser.next())
        events.push_back(*event);
    }
    cr_assert_eq(events.size(), 3);
    cr_assert_eq(events[0].Id.value(), 1);
    cr_assert(events[0].Data == "{\"a\":1}");
    cr_assert_eq(events[1].Id.value(), 2);
    cr_assert(events[1].Data == "x\ny");
    cr_assert_not(events[2].Id.has_value());
    cr_assert(events[2].Data == "[DONE]");
  }
}

Test(EventStream, DetectsAnOverlongEvent) {
  auto parser = EventStreamParser{};
  parser.buffer().assign(2U << 20U, 'x');
  cr_assert_not(parser.next().has_value());
  cr_assert(parser.isOverlong());
}

} // namespace dotterel::test
