/// \file
/// A server that keeps its connections and answers each request with the next
/// of several responses. Not part of the product.
#pragma once

#include "LibNet/Asio.h"
#include "LibNet/Endpoint.h"
#include "LibNet/Task.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace dotterel::test {

/// The response to one request. "@ID" is replaced with the request's id.
struct ScriptedResponse {
  std::string Text;
  /// Closes the connection after the response.
  bool Closes = false;
  /// The server runs the request.
  bool Runs = true;
  /// Responds before the body of the request has arrived, then resets the
  /// connection.
  bool ResetsUpload = false;
};

/// Listens on several addresses and plays one list of responses to the requests
/// in the order in which they arrive; the last one is repeated. A response that
/// does not run its request is written once more before the next response on
/// its connection. Precondition: requests have a Content-Length field or no
/// body. Thread safety: the results may be read on any thread.
class KeepAliveServer {
public:
  KeepAliveServer(std::vector<std::string> const &Addresses,
                  std::vector<ScriptedResponse> Responses)
      : Responses(std::move(Responses)) {
    for (auto const &it : Addresses) {
      Acceptors.push_back(std::make_unique<asio::ip::tcp::acceptor>(
          Context, parseEndpoint(it)));
      spawnTask(Context, "acceptor", [this, &acceptor = *Acceptors.back()] {
        return accept(acceptor);
      });
    }
    Thread = std::thread([this] { Context.run(); });
  }

  ~KeepAliveServer() {
    Context.stop();
    Thread.join();
  }

  KeepAliveServer(KeepAliveServer const &) = delete;
  auto operator=(KeepAliveServer const &) -> KeepAliveServer & = delete;

  /// Plays \p Next from its first response on, and forgets earlier requests.
  auto setResponses(std::vector<ScriptedResponse> Next) -> void {
    auto lock = std::lock_guard(Mutex);
    Responses = std::move(Next);
    Requests = 0;
    Runs.clear();
  }

  [[nodiscard]] auto requests() const -> std::size_t {
    auto lock = std::lock_guard(Mutex);
    return Requests;
  }

  /// Returns how often the request \p Id was run.
  [[nodiscard]] auto runs(std::string const &Id) const -> unsigned {
    auto lock = std::lock_guard(Mutex);
    auto it = Runs.find(Id);
    return it == Runs.end() ? 0 : it->second;
  }

  /// Returns the header section of the last request.
  [[nodiscard]] auto lastHeader() const -> std::string {
    auto lock = std::lock_guard(Mutex);
    return LastHeader;
  }

private:
  auto accept(asio::ip::tcp::acceptor &Acceptor) -> Awaitable<void> {
    while (true) {
      auto socket = std::make_shared<asio::ip::tcp::socket>(
          co_await Acceptor.async_accept(asio::use_awaitable));
      spawnTask(Context, "connection",
                [this, socket] { return play(*socket); });
    }
  }

  auto play(asio::ip::tcp::socket &Socket) -> Awaitable<void> {
    auto input = std::string{};
    auto refusal = std::string{};
    auto ec = boost::system::error_code{};
    while (!ec) {
      auto const header = co_await readHeader(Socket, input, ec);
      if (ec)
        break;
      auto const id = field(header, "Attempt-Id");
      auto const response = next(id, header);
      if (!response.ResetsUpload)
        co_await skipBody(Socket, header, input, ec);
      if (ec)
        break;
      auto text = response.Text;
      for (auto at = text.find("@ID"); at != std::string::npos;
           at = text.find("@ID"))
        text.replace(at, 3, id);
      co_await asio::async_write(Socket, asio::buffer(refusal + text),
                                 useError(ec));
      refusal = response.Runs ? "" : text;
      if (response.ResetsUpload)
        Socket.set_option(asio::socket_base::linger(true, 0), ec);
      if (response.Closes || response.ResetsUpload)
        break;
    }
    Socket.close(ec);
  }

  auto next(std::string const &Id, std::string const &Header)
      -> ScriptedResponse {
    auto lock = std::lock_guard(Mutex);
    LastHeader = Header;
    auto const &response =
        Responses[std::min(Requests++, Responses.size() - 1)];
    Runs[Id] += response.Runs ? 1 : 0;
    return response;
  }

  /// Returns the header section of the next request.
  static auto readHeader(asio::ip::tcp::socket &Socket, std::string &Input,
                         boost::system::error_code &ec)
      -> Awaitable<std::string> {
    auto const size = co_await asio::async_read_until(
        Socket, asio::dynamic_buffer(Input), "\r\n\r\n", useError(ec));
    auto header = Input.substr(0, size);
    Input.erase(0, size);
    co_return header;
  }

  static auto skipBody(asio::ip::tcp::socket &Socket, std::string Header,
                       std::string &Input, boost::system::error_code &ec)
      -> Awaitable<void> {
    auto const size =
        std::strtoul(field(Header, "Content-Length").c_str(), nullptr, 10);
    if (Input.size() < size)
      co_await asio::async_read(Socket, asio::dynamic_buffer(Input),
                                asio::transfer_exactly(size - Input.size()),
                                useError(ec));
    Input.erase(0, size);
  }

  static auto field(std::string const &Header, std::string const &Name)
      -> std::string {
    auto const at = Header.find("\r\n" + Name + ": ");
    if (at == std::string::npos)
      return {};
    auto const from = at + Name.size() + 4;
    return Header.substr(from, Header.find("\r\n", from) - from);
  }

  mutable std::mutex Mutex;
  std::vector<ScriptedResponse> Responses;
  std::size_t Requests = 0;
  std::map<std::string, unsigned> Runs;
  std::string LastHeader;
  asio::io_context Context{1};
  std::vector<std::unique_ptr<asio::ip::tcp::acceptor>> Acceptors;
  std::thread Thread;
};

} // namespace dotterel::test
