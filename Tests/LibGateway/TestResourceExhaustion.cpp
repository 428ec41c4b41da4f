// Many callers that hold memory or connections at each port of an instance. The
// instance runs as a process of its own; its memory is sampled
// while ordinary callers ask for a route that is served.
#include "LibGateway/InstanceProcess.h"
#include "LibGateway/RunningGateway.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <functional>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

namespace dotterel::test {

namespace {

/// Share of ordinary requests that must be served meanwhile, and after.
constexpr auto ServedShareDuring = 0.9;
constexpr auto ServedShareAfter = 0.95;
constexpr auto LegalBodyBytes = std::size_t{1} << 20U;
constexpr auto OrdinaryRequests = 60;

/// Connections that stay open until this object is destroyed.
class HeldConnections {
public:
  HeldConnections() = default;
  ~HeldConnections() {
    for (auto it : Sockets)
      ::close(it);
  }
  HeldConnections(HeldConnections const &) = delete;
  auto operator=(HeldConnections const &) -> HeldConnections & = delete;

  /// Opens a connection and writes as much of \p Bytes as the instance takes
  /// within some milliseconds, at most \p PieceBytes at once.
  auto send(int Port, std::string_view Bytes, std::size_t PieceBytes) -> void {
    auto const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    auto target = sockaddr_in{};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(Port));
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // The connection is established meanwhile.
    (void)::connect(fd, reinterpret_cast<sockaddr *>(&target), sizeof(target));
    Sockets.push_back(fd);
    for (auto waits = 0; waits < 20 && !Bytes.empty();) {
      auto const sent = ::send(
          fd, Bytes.data(), std::min(Bytes.size(), PieceBytes), MSG_NOSIGNAL);
      if (sent > 0)
        Bytes.remove_prefix(static_cast<std::size_t>(sent));
      else if (errno != EAGAIN)
        return;
      else {
        std::this_thread::sleep_for(1ms);
        ++waits;
      }
    }
  }

private:
  std::vector<int> Sockets;
};

auto head(std::string_view Path, std::string_view Framing) -> std::string {
  return fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                     "Attempt-Id: 1\r\n{}\r\n\r\n",
                     Path, Framing);
}

auto unfinishedBody(std::string_view Path) -> std::string {
  return head(Path, fmt::format("Content-Length: {}", LegalBodyBytes)) +
         std::string(LegalBodyBytes - 1, 'b');
}

auto unfinishedChunks(std::string_view Path) -> std::string {
  auto bytes = head(Path, "Transfer-Encoding: chunked");
  for (auto n = std::size_t{0}; n < LegalBodyBytes; n += 16384)
    bytes += "4000\r\n" + std::string(16384, 'c') + "\r\n";
  return bytes;
}

auto oversizedBody(std::string_view Path) -> std::string {
  return head(Path, fmt::format("Content-Length: {}", LegalBodyBytes * 64)) +
         std::string(LegalBodyBytes, 'b');
}

/// A header of legal size that consists of very many fields, without its body.
auto manyFields(std::string_view Path) -> std::string {
  auto bytes = fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n", Path);
  while (bytes.size() < 15000)
    bytes += "a:b\r\n";
  return bytes + "Content-Length: 9\r\n\r\n";
}

auto unfinishedHead(std::string_view Path) -> std::string {
  return fmt::format("POST {} HTTP/1.1\r\nHost: h.exam", Path);
}

auto sentAhead(std::string_view Path) -> std::string {
  auto bytes = std::string{};
  for (auto n = 0; n < 3000; ++n)
    bytes += head(Path, "Content-Length: 4") + "body";
  return bytes;
}

/// Returns the share of ordinary requests that are served.
auto ordinaryShare() -> double {
  auto served = 0;
  for (auto n = 0; n < OrdinaryRequests; ++n) {
    auto const result =
        post(CallerPort, "/once/x", {{"Attempt-Id", fmt::format("o{}", n)}});
    served += status(result) == 200 ? 1 : 0;
  }
  return static_cast<double>(served) / OrdinaryRequests;
}

/// A port of the instance, and a path there.
struct Target {
  int Port;
  std::string Path;
};

auto targets() -> std::vector<Target> {
  return {{CallerPort, "/once/x"},
          {CallerPort, "/no-route/x"},
          {ReadyPort, "/-/ready"},
          {DirectoryPort, "/-/resolve"}};
}

/// Lets \p Count callers send what \p Make returns at each port, and checks the
/// instance and its ordinary callers.
auto checkHolders(std::string_view Kind, int Count,
                  std::function<std::string(std::string_view)> const &Make,
                  std::size_t PieceBytes = SIZE_MAX) -> void {
  auto platform = FakePlatform();
  auto process = InstanceProcess(platform);
  for (auto const &target : targets()) {
    auto const bytes = Make(target.Path);
    {
      auto held = HeldConnections();
      for (auto n = 0; n < Count; ++n)
        held.send(target.Port, bytes, PieceBytes);
      auto const share = ordinaryShare();
      cr_expect_geq(share, ServedShareDuring, "%s at %d%s: served %.2f",
                    Kind.data(), target.Port, target.Path.c_str(), share);
    }
    cr_assert(process.isAlive(), "%s at %d%s", Kind.data(), target.Port,
              target.Path.c_str());
    auto const peak = process.peakMegabytes();
    cr_expect_lt(peak, MachineMegabytes, "%s at %d%s: %.0f MB", Kind.data(),
                 target.Port, target.Path.c_str(), peak);
  }
  auto const after = ordinaryShare();
  cr_expect_geq(after, ServedShareAfter, "%s: served %.2f after", Kind.data(),
                after);
  cr_expect_eq(status(get(ReadyPort, "/-/ready")), 200U);
}

} // namespace

Test(ResourceExhaustion, BodiesThatStopShort) {
  checkHolders("bodies that stop short", 500, unfinishedBody);
}

Test(ResourceExhaustion, ChunksThatStopShort) {
  checkHolders("chunks that stop short", 500, unfinishedChunks);
}

Test(ResourceExhaustion, BodiesInSmallPieces) {
  constexpr auto PieceBytes = std::size_t{700};
  checkHolders("bodies in small pieces", 100, unfinishedBody, PieceBytes);
}

// The request is complete and its response, which is as long, is not read.
Test(ResourceExhaustion, ResponsesThatAreNotRead) {
  checkHolders("responses that are not read", 300, [](std::string_view Path) {
    return unfinishedBody(Path) + "b";
  });
}

Test(ResourceExhaustion, BodiesOverTheLimit) {
  checkHolders("bodies over the limit", 200, oversizedBody);
}

Test(ResourceExhaustion, RequestsOfManyFields) {
  checkHolders("requests of many fields", 2000, manyFields);
}

Test(ResourceExhaustion, HeadsThatStopShort) {
  checkHolders("heads that stop short", 3500, unfinishedHead);
}

Test(ResourceExhaustion, RequestsSentAhead) {
  checkHolders("requests sent ahead", 200, sentAhead);
}

// Within the limits a single large request is served, in any framing.
Test(ResourceExhaustion, SingleLargeRequestIsServed) {
  auto platform = FakePlatform();
  auto process = InstanceProcess(platform);
  auto const body = std::string(LegalBodyBytes, 'b');
  cr_expect_eq(status(post(CallerPort, "/once/x", {}, body)), 200U);
  cr_expect_eq(status(get(ReadyPort, "/-/ready")), 200U);
  cr_expect_eq(status(post(ReadyPort, "/-/ready", {}, body)), 200U);
  auto fields = std::vector<HttpField>{};
  for (auto n = 0; n < 2500; ++n)
    fields.push_back({"a", "b"});
  cr_expect_eq(status(post(CallerPort, "/once/x", std::move(fields))), 200U);
}

} // namespace dotterel::test
