/// \file
/// Includes Boost.Asio and Boost.Beast in the one order that works here.
#pragma once

// Boost.Asio 1.74 uses std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "LibCore/Time.h"

namespace dotterel {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

template <typename T> using Awaitable = asio::awaitable<T>;

/// Returns a completion token that stores the error in \p ec instead of
/// throwing it.
[[nodiscard]] inline auto useError(boost::system::error_code &ec) {
  return asio::redirect_error(asio::use_awaitable, ec);
}

/// Suspends the calling coroutine for \p Span.
inline auto sleepFor(Duration Span) -> Awaitable<void> {
  auto timer = asio::steady_timer(co_await asio::this_coro::executor, Span);
  auto ec = boost::system::error_code{};
  co_await timer.async_wait(useError(ec));
}

} // namespace dotterel
