/// \file
/// Fuzzes the parsers of untrusted input: HTTP requests, completion and service
/// calls, event streams, selectors, configurations and settings.
#include "LibConfiguration/FleetConfiguration.h"
#include "LibConfiguration/Settings.h"
#include "LibCore/Error.h"
#include "LibInstance/CallParser.h"
#include "LibInstance/EventStream.h"

namespace {

using dotterel::Awaitable;

/// An exchange whose request was parsed from the fuzzer's input.
class ParsedExchange final : public dotterel::HttpExchange {
public:
  using Request = dotterel::http::request<dotterel::http::string_body>;

  explicit ParsedExchange(Request ParsedRequest)
      : ParsedRequest(std::move(ParsedRequest)) {}

  [[nodiscard]] auto method() const -> std::string_view override {
    return {ParsedRequest.method_string().data(),
            ParsedRequest.method_string().size()};
  }
  [[nodiscard]] auto target() const -> std::string_view override {
    return path();
  }
  auto visitFields(dotterel::FieldVisitor const &Visitor) const
      -> void override {
    for (auto const &it : ParsedRequest)
      Visitor({it.name_string().data(), it.name_string().size()},
              {it.value().data(), it.value().size()});
  }
  auto beginResponse(dotterel::HttpResponse /*Header*/)
      -> Awaitable<void> override {
    co_return;
  }
  auto beginResponse(dotterel::HttpResponse /*Header*/,
                     std::uint64_t /*Length*/) -> Awaitable<void> override {
    co_return;
  }
  [[nodiscard]] auto path() const -> std::string_view override {
    return {ParsedRequest.target().data(), ParsedRequest.target().size()};
  }
  [[nodiscard]] auto query(std::string_view /*Name*/) const
      -> std::string override {
    return {};
  }
  [[nodiscard]] auto field(std::string_view Name) const
      -> std::string override {
    auto value = ParsedRequest[{Name.data(), Name.size()}];
    return {value.data(), value.size()};
  }
  [[nodiscard]] auto body() -> std::string & override {
    return ParsedRequest.body();
  }
  [[nodiscard]] auto callerAddress() const -> std::string override {
    return {};
  }
  auto respond(dotterel::HttpResponse /*Response*/)
      -> Awaitable<void> override {
    co_return;
  }
  auto beginStream(std::string /*ContentType*/,
                   std::vector<dotterel::HttpField> /*Fields*/)
      -> Awaitable<void> override {
    co_return;
  }
  auto writeChunk(std::string_view /*Data*/) -> Awaitable<void> override {
    co_return;
  }
  auto endStream() -> Awaitable<void> override { co_return; }
  auto notifyOnDisconnect(std::function<void()> /*Callback*/) -> void override {
  }
  auto abort() -> void override {}

private:
  Request ParsedRequest;
};

template <typename FunctionType>
auto ignoringErrors(FunctionType Function) -> void {
  try {
    Function();
  } catch (dotterel::Error const &) {
    // Most inputs are rejected with an Error; only crashes are failures.
  }
}

auto fuzzRequest(std::string_view Text) -> void {
  auto parser = dotterel::http::request_parser<dotterel::http::string_body>{};
  auto ec = boost::system::error_code{};
  parser.eager(true);
  parser.put(boost::asio::buffer(Text.data(), Text.size()), ec);
  if (ec || !parser.is_header_done())
    return;
  auto exchange = ParsedExchange(parser.get());
  ignoringErrors([&] { (void)dotterel::parseCompletion(exchange, false); });
  ignoringErrors([&] { (void)dotterel::parseCompletion(exchange, true); });
  if (exchange.path().starts_with("/services/"))
    ignoringErrors([&] { (void)dotterel::parseServiceCall(exchange); });
}

auto fuzzEventStream(std::string_view Text) -> void {
  auto parser = dotterel::EventStreamParser{};
  parser.buffer().assign(Text);
  while (parser.next()) {
  }
}

} // namespace

extern "C" auto LLVMFuzzerTestOneInput(std::uint8_t const *Data,
                                       std::size_t Size) -> int {
  if (Size == 0)
    return 0;
  auto text =
      std::string_view(reinterpret_cast<char const *>(Data + 1), Size - 1);
  switch (Data[0] % 4) {
  case 0:
    fuzzRequest(text);
    break;
  case 1:
    fuzzEventStream(text);
    break;
  case 2:
    ignoringErrors([&] { (void)dotterel::Selector::parse(text); });
    break;
  default:
    ignoringErrors(
        [&] { (void)dotterel::FleetConfiguration::compile(text, 1); });
    ignoringErrors([&] { (void)dotterel::Settings::parse(text); });
    break;
  }
  return 0;
}
