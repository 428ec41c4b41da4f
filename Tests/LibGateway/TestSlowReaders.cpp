// Callers that read large responses slowly, from an instance that runs as a
// process of its own.
#include "LibGateway/InstanceProcess.h"
#include "LibTest/ScriptedServer.h"

#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <vector>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

/// Returns a complete response with a body of \p Bytes.
auto responseOf(std::size_t Bytes) -> std::string {
  return fmt::format("HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
                     "Server-Seal: s\r\nContent-Length: {}\r\n\r\n{}",
                     Bytes, std::string(Bytes, 'r'));
}

/// A caller that sends one request and reads its response at a steady rate, on
/// a thread of its own.
class SlowReader {
public:
  explicit SlowReader(std::size_t BytesPerSecond)
      : BytesPerSecond(BytesPerSecond), Thread([this] { run(); }) {}
  ~SlowReader() { join(); }
  SlowReader(SlowReader const &) = delete;
  auto operator=(SlowReader const &) -> SlowReader & = delete;

  auto join() -> void {
    IsStopping = true;
    if (Thread.joinable())
      Thread.join();
  }
  auto await() -> void { Thread.join(); }
  /// Returns the bytes that were read until the connection ended.
  [[nodiscard]] auto received() const -> std::size_t { return Received; }

private:
  auto run() -> void {
    constexpr auto Interval = Duration{20ms};
    constexpr auto BufferBytes = 32 << 10;
    auto context = asio::io_context{1};
    auto socket = asio::ip::tcp::socket(context);
    auto ec = boost::system::error_code{};
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(BufferBytes));
    socket.connect(parseEndpoint(address(CallerPort)), ec);
    auto const text = std::string("POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
                                  "Attempt-Id: 9c41\r\nConnection: close\r\n"
                                  "Content-Length: 0\r\n\r\n");
    asio::write(socket, asio::buffer(text), ec);
    auto buf = std::vector<char>(BytesPerSecond / 50);
    while (!ec && !IsStopping) {
      Received += asio::read(socket, asio::buffer(buf), ec);
      std::this_thread::sleep_for(Interval);
    }
  }

  std::size_t BytesPerSecond;
  std::atomic<bool> IsStopping = false;
  std::atomic<std::size_t> Received = 0;
  std::thread Thread;
};

/// Lets 60 callers read the responses of a server that plays \p Steps, and
/// checks the memory of the instance.
auto checkMemory(Script Steps, std::size_t BytesPerSecond) -> void {
  constexpr auto Readers = 60;
  auto server = ScriptedServer(address(ScriptedPort), std::move(Steps));
  auto platform = FakePlatform(address(ScriptedPort));
  auto process = InstanceProcess(platform);
  auto readers = std::vector<std::unique_ptr<SlowReader>>{};
  for (auto n = 0; n < Readers; ++n) {
    readers.push_back(std::make_unique<SlowReader>(BytesPerSecond));
    std::this_thread::sleep_for(20ms);
  }
  std::this_thread::sleep_for(3s);
  cr_assert(process.isAlive());
  auto const peak = process.peakMegabytes();
  cr_expect_lt(peak, MachineMegabytes, "%.0f MB", peak);
  cr_expect_eq(status(get(ReadyPort, "/-/ready")), 200U);
}

} // namespace

// Regression test: a stopping instance waited half a second for what its
// callers still had to read, cut their responses, and ended with a crash.
Test(SlowReaders, StopWaitsForResponsesThatAreBeingRead) {
  constexpr auto ResponseBytes = std::size_t{14} << 20U;
  constexpr auto BytesPerSecond = std::size_t{5} << 19U;
  auto const response = responseOf(ResponseBytes);
  auto server = ScriptedServer(address(ScriptedPort), {response});
  auto platform = FakePlatform(address(ScriptedPort));
  auto process = InstanceProcess(platform);
  auto first = SlowReader(BytesPerSecond);
  auto second = SlowReader(BytesPerSecond);
  std::this_thread::sleep_for(500ms);
  process.terminate();
  first.await();
  second.await();
  cr_expect_gt(first.received(), ResponseBytes);
  cr_expect_gt(second.received(), ResponseBytes);
  auto const ended = process.awaitEnd(2s);
  cr_assert(ended.has_value());
  cr_assert(WIFEXITED(*ended) && WEXITSTATUS(*ended) == 0, "wait status %d",
            *ended);
}

// Regression test: the process crashed at its end if a caller had not read its
// response.
Test(SlowReaders, StopWithAnUnreadResponseIsNoCrash) {
  auto const response = responseOf(std::size_t{6} << 20U);
  auto server = ScriptedServer(address(ScriptedPort), {response});
  auto platform = FakePlatform(address(ScriptedPort));
  auto process = InstanceProcess(platform);
  auto reader = SlowReader(std::size_t{64} << 10U);
  std::this_thread::sleep_for(500ms);
  process.terminate();
  auto const ended = process.awaitEnd(8s);
  cr_assert(ended.has_value());
  cr_assert(WIFEXITED(*ended) && WEXITSTATUS(*ended) == 0, "wait status %d",
            *ended);
}

// Regression test: complete responses waited in memory for callers that read
// them slowly, until the process was over its machine's limit.
Test(SlowReaders, LargeResponsesStayWithinTheMemory) {
  checkMemory({responseOf(std::size_t{8} << 20U)}, std::size_t{256} << 10U);
}

// Regression test: a faulty server sent bodies without end, all of which were
// kept up to a limit for each.
Test(SlowReaders, EndlessBodiesStayWithinTheMemory) {
  checkMemory({"HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\n"
               "Server-Seal: s\r\n\r\n",
               ConnectionEnd::Repeat, std::string(65536, 'r')},
              std::size_t{1} << 20U);
}

// Responses of callers that read at once are complete, however many there are.
Test(SlowReaders, LargeResponsesAreComplete) {
  constexpr auto Readers = 30;
  constexpr auto ResponseBytes = std::size_t{8} << 20U;
  auto const response = responseOf(ResponseBytes);
  auto server = ScriptedServer(address(ScriptedPort), {response});
  auto platform = FakePlatform(address(ScriptedPort));
  auto process = InstanceProcess(platform);
  auto readers = std::vector<std::unique_ptr<SlowReader>>{};
  for (auto n = 0; n < Readers; ++n) {
    readers.push_back(std::make_unique<SlowReader>(std::size_t{256} << 20U));
    std::this_thread::sleep_for(20ms);
  }
  for (auto const &it : readers) {
    it->await();
    cr_expect_gt(it->received(), ResponseBytes);
  }
}

} // namespace dotterel::test
