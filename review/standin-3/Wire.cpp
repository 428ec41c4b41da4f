#include "Wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

auto const StartedAt = Clock::now();

auto toLower(std::string Text) -> std::string {
  std::transform(Text.begin(), Text.end(), Text.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return Text;
}

auto socketAddress(Address const &Target) -> sockaddr_in {
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(Target.Port));
  ::inet_pton(AF_INET, Target.Ip.c_str(), &address.sin_addr);
  return address;
}

auto setOption(int Handle, int Level, int Name, int Value) -> void {
  ::setsockopt(Handle, Level, Name, &Value, sizeof Value);
}

/// Reads chunks until the last one.
auto readChunks(Socket const &Source, std::string &Buffer, std::string &Body)
    -> bool {
  while (true) {
    auto end = Buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!Source.receive(Buffer))
        return false;
      end = Buffer.find("\r\n");
    }
    auto const size = std::stoul(Buffer.substr(0, end), nullptr, 16);
    while (Buffer.size() < end + 2 + size + 2) {
      if (!Source.receive(Buffer))
        return false;
    }
    Body += Buffer.substr(end + 2, size);
    Buffer.erase(0, end + 2 + size + 2);
    if (size == 0)
      return true;
  }
}

auto startWork(void *Argument) -> void * {
  auto work = std::unique_ptr<std::function<void()>>(
      static_cast<std::function<void()> *>(Argument));
  (*work)();
  return nullptr;
}

} // namespace

auto elapsedMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - StartedAt)
      .count();
}

auto unixMs() -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

auto pauseMs(std::int64_t Span) -> void {
  std::this_thread::sleep_for(Milliseconds(Span));
}

auto Address::text() const -> std::string {
  return Ip + ":" + std::to_string(Port);
}

auto Socket::operator=(Socket &&Other) noexcept -> Socket & {
  std::swap(Handle, Other.Handle);
  return *this;
}

auto Socket::close() -> void {
  if (Handle >= 0)
    ::close(Handle);
  Handle = -1;
}

auto Socket::reset() -> void {
  auto const value = linger{1, 0};
  ::setsockopt(Handle, SOL_SOCKET, SO_LINGER, &value, sizeof value);
  close();
}

auto Socket::setReceiveTimeout(std::int64_t Ms) const -> void {
  auto const value = timeval{Ms / 1000, (Ms % 1000) * 1000};
  ::setsockopt(Handle, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

auto Socket::sendAll(std::string_view Bytes) const -> bool {
  while (!Bytes.empty()) {
    auto const n = ::send(Handle, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

auto Socket::receive(std::string &Output) const -> bool {
  auto part = std::array<char, 8192>{};
  auto const n = ::recv(Handle, part.data(), part.size(), 0);
  if (n <= 0)
    return false;
  Output.append(part.data(), static_cast<std::size_t>(n));
  return true;
}

auto listenOn(Address &Target) -> Socket {
  auto listener = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  setOption(listener.handle(), SOL_SOCKET, SO_REUSEADDR, 1);
  auto address = socketAddress(Target);
  if (::bind(listener.handle(), reinterpret_cast<sockaddr *>(&address),
             sizeof address) != 0 ||
      ::listen(listener.handle(), 1024) != 0)
    return {};
  auto size = socklen_t{sizeof address};
  ::getsockname(listener.handle(), reinterpret_cast<sockaddr *>(&address),
                &size);
  Target.Port = ntohs(address.sin_port);
  return listener;
}

auto acceptFrom(Socket const &Listener) -> Socket {
  auto socket =
      Socket(::accept4(Listener.handle(), nullptr, nullptr, SOCK_CLOEXEC));
  if (socket.isOpen())
    setOption(socket.handle(), IPPROTO_TCP, TCP_NODELAY, 1);
  return socket;
}

auto connectTo(Address const &Target, std::string const &Source) -> Socket {
  auto socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (!Source.empty()) {
    auto own = socketAddress({Source, 0});
    (void)::bind(socket.handle(), reinterpret_cast<sockaddr *>(&own),
                 sizeof own);
  }
  auto address = socketAddress(Target);
  if (::connect(socket.handle(), reinterpret_cast<sockaddr *>(&address),
                sizeof address) != 0)
    return {};
  setOption(socket.handle(), IPPROTO_TCP, TCP_NODELAY, 1);
  return socket;
}

auto hasInput(Socket const &Target) -> bool {
  auto entry = pollfd{Target.handle(), POLLIN, 0};
  return ::poll(&entry, 1, 0) != 0;
}

auto freePort(std::string const &Ip) -> int {
  auto address = Address{Ip, 0};
  auto const listener = listenOn(address);
  return address.Port;
}

auto Message::field(std::string const &Name) const -> std::string {
  auto it = Fields.find(toLower(Name));
  return it == Fields.end() ? std::string{} : it->second;
}

auto Message::query(std::string const &Name) const -> std::string {
  auto const &target = Start.at(1);
  auto const mark = target.find('?');
  if (mark == std::string::npos)
    return {};
  auto const text = "&" + target.substr(mark + 1) + "&";
  auto const at = text.find("&" + Name + "=");
  if (at == std::string::npos)
    return {};
  auto const from = at + Name.size() + 2;
  return text.substr(from, text.find('&', from) - from);
}

auto Message::path() const -> std::string {
  auto const &target = Start.at(1);
  return target.substr(0, target.find('?'));
}

auto Message::status() const -> int {
  return Start.size() < 2 ? 0 : std::atoi(Start[1].c_str());
}

auto readMessage(Socket const &Source, std::string &Buffer)
    -> std::optional<Message> {
  auto end = Buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Source.receive(Buffer))
      return std::nullopt;
    end = Buffer.find("\r\n\r\n");
  }
  auto head = Buffer.substr(0, end + 2);
  Buffer.erase(0, end + 4);
  auto message = Message{};
  auto at = head.find("\r\n");
  auto line = head.substr(0, at) + " ";
  for (auto n = line.find(' '); n != std::string::npos; n = line.find(' ')) {
    message.Start.push_back(line.substr(0, n));
    line.erase(0, n + 1);
  }
  if (message.Start.size() < 2)
    return std::nullopt;
  for (auto from = at + 2; from < head.size(); from = at + 2) {
    at = head.find("\r\n", from);
    auto const colon = head.find(':', from);
    if (colon == std::string::npos || colon > at)
      continue;
    auto const value = head.find_first_not_of(' ', colon + 1);
    message.Fields[toLower(head.substr(from, colon - from))] =
        head.substr(value, at - value);
  }
  if (message.field("transfer-encoding") == "chunked") {
    if (!readChunks(Source, Buffer, message.Body))
      return std::nullopt;
    return message;
  }
  auto const length =
      std::strtoul(message.field("content-length").c_str(), nullptr, 10);
  while (Buffer.size() < length) {
    if (!Source.receive(Buffer))
      return std::nullopt;
  }
  message.Body = Buffer.substr(0, length);
  Buffer.erase(0, length);
  return message;
}

auto writeResponse(int Status, Fields const &Header, std::string_view Body)
    -> std::string {
  auto text = "HTTP/1.1 " + std::to_string(Status) + " S\r\n";
  for (auto const &it : Header)
    text += it.first + ": " + it.second + "\r\n";
  text += "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n";
  return text + std::string(Body);
}

auto startThread(std::function<void()> Work) -> void {
  auto attributes = pthread_attr_t{};
  ::pthread_attr_init(&attributes);
  ::pthread_attr_setstacksize(&attributes, std::size_t{256} << 10U);
  ::pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
  auto thread = pthread_t{};
  auto argument = std::make_unique<std::function<void()>>(std::move(Work));
  if (::pthread_create(&thread, &attributes, startWork, argument.get()) == 0)
    (void)argument.release();
  ::pthread_attr_destroy(&attributes);
}

auto serveForever(Socket Listener, std::function<void(Socket)> Serve) -> void {
  auto listener = std::make_shared<Socket>(std::move(Listener));
  startThread([listener, serve = std::move(Serve)] {
    while (true) {
      auto socket = std::make_shared<Socket>(acceptFrom(*listener));
      if (!socket->isOpen())
        return;
      startThread([serve, socket] { serve(std::move(*socket)); });
    }
  });
}

} // namespace review
