#include "cli/admin_call.h"

#include <fmt/format.h>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "io/http_client.h"

namespace verbenastile {
namespace {

constexpr std::size_t kMaxIdleConnections = 1;
constexpr Duration kAdminTimeout = std::chrono::seconds(5);
constexpr std::size_t kMaxResponseBytes = 8'388'608;

HttpOutcome SendAndWait(HttpCall call) {
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
  http.max_response_bytes = kMaxResponseBytes;
  if (!call.token.empty()) {
    http.headers.push_back({"Authorization", "Bearer " + call.token});
  }
  const HttpOutcome outcome = SendAndWait(std::move(http));
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    return leaf::new_error(AdminError{
        fmt::format("request to {} failed: {}", call.admin, failure->detail)});
  }
  const auto& response = std::get<HttpResponse>(outcome);
  if (response.status >= 300) {
    return leaf::new_error(
        AdminError{fmt::format("{} returned status {}: {}", call.admin,
                               response.status, response.body)});
  }
  return response.body;
}

leaf::result<nlohmann::json> FetchAdminJson(const std::string& admin,
                                            const std::string& path) {
  BOOST_LEAF_AUTO(body, CallAdmin({admin, "GET", path, ""}));
  auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) {
    return leaf::new_error(
        AdminError{fmt::format("the response of {} is not valid JSON", admin)});
  }
  return json;
}

}  // namespace verbenastile
