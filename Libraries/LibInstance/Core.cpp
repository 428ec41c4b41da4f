#include "LibInstance/Core.h"

namespace dotterel {

auto Core::feed(EventBody Happened) -> void {
  Waiting.push_back(std::move(Happened));
  if (IsBusy)
    return;
  IsBusy = true;
  while (!Waiting.empty()) {
    auto event =
        Event{std::chrono::steady_clock::now(), std::move(Waiting.front())};
    Waiting.pop_front();
    for (auto &it : reduce(Current, event))
      Runner(it);
  }
  IsBusy = false;
}

} // namespace dotterel
