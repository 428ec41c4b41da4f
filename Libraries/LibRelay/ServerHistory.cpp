#include "LibRelay/ServerHistory.h"

namespace dotterel::relay {

auto ServerHistory::at(ServerKey Key) -> ServerRun & {
  auto it = Runs.find(Key);
  if (it != Runs.end())
    return it->second;
  if (Keys.size() >= MaximumRuns) {
    Runs.erase(Keys.front());
    Keys.pop_front();
  }
  Keys.push_back(Key);
  return Runs[Key];
}

auto ServerHistory::find(ServerKey Key) const -> ServerRun const * {
  auto it = Runs.find(Key);
  return it == Runs.end() ? nullptr : &it->second;
}

} // namespace dotterel::relay
