#include "cli/admin_call.h"

#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "io/http_client.h"

namespace verbenastile {
namespace {

constexpr std::size_t kMaxIdleConnections = 1;
constexpr Duration kAdminTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxAnswerBytes = 8'388'608;

HttpOutcome Run(HttpCall call) {
  asio::io_context io(1);
  HttpClient client(io, kMaxIdleConnections);
  HttpOutcome outcome;
  client.Start(std::move(call), [&](HttpOutcome done) {
    outcome = std::move(done);
    io.stop();
  });
  io.run();
  return outcome;
}

}  // namespace

leaf::result<std::string> CallAdmin(const AdminCall& call) {
  HttpCall http;
  http.method = call.method;
  http.url = fmt::format("http://{}{}", call.admin, call.path);
  http.timeout = kAdminTimeout;
  http.max_response_bytes = kMaxAnswerBytes;
  if (!call.token.empty()) {
    http.headers.push_back({"Authorization", "Bearer " + call.token});
  }
  const HttpOutcome outcome = Run(std::move(http));
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    return leaf::new_error(AdminError{
        fmt::format("no answer from {}: {}", call.admin, failure->detail)});
  }
  const auto& answer = std::get<HttpResponse>(outcome);
  if (answer.status >= 300) {
    return leaf::new_error(AdminError{fmt::format(
        "{} answered {}: {}", call.admin, answer.status, answer.body)});
  }
  return answer.body;
}

leaf::result<nlohmann::json> FetchAdminJson(const std::string& admin,
                                            const std::string& path) {
  BOOST_LEAF_AUTO(body, CallAdmin({admin, "GET", path, ""}));
  auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) {
    return leaf::new_error(
        AdminError{fmt::format("the answer of {} is malformed", admin)});
  }
  return json;
}

}  // namespace verbenastile
