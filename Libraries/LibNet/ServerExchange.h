/// \file
/// One request of a connection to an HttpServer. Internal to LibNet.
#pragma once

#include "LibNet/HttpServer.h"
#include "LibNet/MeteredBody.h"

#include <sys/socket.h>

namespace dotterel {

/// An exchange over a TCP connection.
class ServerExchange final : public HttpExchange {
public:
  ServerExchange(beast::tcp_stream &Stream, http::request<MeteredBody> Request,
                 Duration WriteTimeout, bool const &IsClosing)
      : Stream(Stream), Request(std::move(Request)), WriteTimeout(WriteTimeout),
        IsClosing(IsClosing) {}
  // The handler may be queued, and the connection gone when it runs.
  ~ServerExchange() override { endWatch(); }
  ServerExchange(ServerExchange const &) = delete;
  auto operator=(ServerExchange const &) -> ServerExchange & = delete;

  [[nodiscard]] auto method() const -> std::string_view override {
    return asView(Request.method_string());
  }

  [[nodiscard]] auto path() const -> std::string_view override {
    auto target = asView(Request.target());
    return target.substr(0, target.find('?'));
  }

  [[nodiscard]] auto target() const -> std::string_view override {
    return asView(Request.target());
  }

  auto visitFields(FieldVisitor const &Visitor) const -> void override {
    for (auto const &it : Request)
      Visitor(asView(it.name_string()), asView(it.value()));
  }

  [[nodiscard]] auto query(std::string_view Name) const
      -> std::string override {
    auto target = asView(Request.target());
    auto mark = target.find('?');
    if (mark == std::string_view::npos)
      return {};
    auto rest = target.substr(mark + 1);
    while (!rest.empty()) {
      auto end = std::min(rest.find('&'), rest.size());
      auto item = rest.substr(0, end);
      rest.remove_prefix(std::min(end + 1, rest.size()));
      auto equals = item.find('=');
      if (equals != std::string_view::npos && item.substr(0, equals) == Name)
        return std::string(item.substr(equals + 1));
    }
    return {};
  }

  [[nodiscard]] auto field(std::string_view Name) const
      -> std::string override {
    return std::string(asView(Request[{Name.data(), Name.size()}]));
  }

  [[nodiscard]] auto body() -> std::string & override {
    return Request.body().Text;
  }

  [[nodiscard]] auto callerAddress() const -> std::string override {
    auto ec = boost::system::error_code{};
    auto const endpoint = Stream.socket().remote_endpoint(ec);
    return ec ? std::string{} : endpoint.address().to_string();
  }

  auto respond(HttpResponse Response) -> Awaitable<void> override {
    auto message = http::response<http::string_body>{};
    fill(message, Response);
    message.body() = std::move(Response.Body);
    message.prepare_payload();
    Stream.expires_after(WriteTimeout);
    co_await http::async_write(Stream, message, asio::use_awaitable);
    HasResponded = true;
  }

  auto beginStream(std::string ContentType, std::vector<HttpField> Fields)
      -> Awaitable<void> override {
    Fields.push_back({"Cache-Control", "no-cache"});
    co_await beginResponse({static_cast<unsigned>(http::status::ok),
                            std::move(ContentType),
                            std::move(Fields),
                            {}});
  }

  auto beginResponse(HttpResponse Header) -> Awaitable<void> override {
    auto message = http::response<http::empty_body>{};
    fill(message, Header);
    message.chunked(true);
    co_await writeHeader(message);
  }

  auto beginResponse(HttpResponse Header, std::uint64_t Length)
      -> Awaitable<void> override {
    auto message = http::response<http::empty_body>{};
    fill(message, Header);
    message.content_length(Length);
    IsChunked = false;
    co_await writeHeader(message);
  }

  auto writeChunk(std::string_view Data) -> Awaitable<void> override {
    auto const bytes = asio::buffer(Data.data(), Data.size());
    Stream.expires_after(WriteTimeout);
    if (IsChunked)
      co_await asio::async_write(Stream, http::make_chunk(bytes),
                                 asio::use_awaitable);
    else
      co_await asio::async_write(Stream, bytes, asio::use_awaitable);
  }

  auto endStream() -> Awaitable<void> override {
    Stream.expires_after(WriteTimeout);
    if (IsChunked)
      co_await asio::async_write(Stream, http::make_chunk_last(),
                                 asio::use_awaitable);
    HasResponded = true;
  }

  auto notifyOnDisconnect(std::function<void()> Callback) -> void override {
    IsWatched = std::make_shared<bool>(true);
    watch(Stream, IsWatched, std::move(Callback));
  }

  auto abort() -> void override { Stream.close(); }

  /// Returns whether the connection can take another request.
  auto finish() -> bool {
    if (IsWatched) {
      endWatch();
      auto ec = boost::system::error_code{};
      Stream.socket().cancel(ec);
    }
    return HasResponded && keepsAlive();
  }

private:
  auto endWatch() -> void {
    if (IsWatched)
      *IsWatched = false;
  }

  [[nodiscard]] static auto asView(beast::string_view Text)
      -> std::string_view {
    return {Text.data(), Text.size()};
  }

  [[nodiscard]] auto keepsAlive() const -> bool {
    return Request.keep_alive() && !IsClosing;
  }

  auto writeHeader(http::response<http::empty_body> &Message)
      -> Awaitable<void> {
    auto serializer = http::response_serializer<http::empty_body>{Message};
    Stream.expires_after(WriteTimeout);
    co_await http::async_write_header(Stream, serializer, asio::use_awaitable);
  }

  template <typename Message>
  auto fill(Message &Target, HttpResponse const &Source) const -> void {
    Target.version(Request.version());
    Target.result(Source.Status);
    Target.keep_alive(keepsAlive());
    if (!Source.ContentType.empty())
      Target.set(http::field::content_type, Source.ContentType);
    for (auto const &it : Source.Fields)
      Target.insert(it.Name, it.Value);
  }

  static auto watch(beast::tcp_stream &Stream,
                    std::shared_ptr<bool> const &IsWatched,
                    std::function<void()> Callback) -> void {
    Stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [&Stream, IsWatched,
         callback = std::move(Callback)](boost::system::error_code const &ec) {
          if (!*IsWatched)
            return;
          auto byte = char{};
          auto n = ec ? 0
                      : ::recv(Stream.socket().native_handle(), &byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
          // Readable data is a pipelined request, not a disconnect.
          if (n <= 0)
            callback();
        });
  }

  beast::tcp_stream &Stream; // NOLINT: owned by the session
  http::request<MeteredBody> Request;
  Duration WriteTimeout;
  bool const &IsClosing; // NOLINT: owned by the server
  bool HasResponded = false;
  bool IsChunked = true;
  std::shared_ptr<bool> IsWatched;
};

} // namespace dotterel
