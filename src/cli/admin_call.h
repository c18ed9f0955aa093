// A blocking HTTP client for a node's admin address.
#ifndef CLI_ADMIN_CALL_H_
#define CLI_ADMIN_CALL_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace verbenastile {

namespace leaf = boost::leaf;

// The node could not be reached, or answered with an error or invalid JSON.
struct AdminError {
  std::string reason;
};

struct AdminCall {
  std::string admin;  // IP:PORT
  std::string method = "GET";
  std::string path;
  std::string token;  // Sent as a bearer token unless empty.
};

// Returns the body of a successful response. Errors: `AdminError`, also for a
// status of 300 or above.
leaf::result<std::string> CallAdmin(const AdminCall& call);

// Sends GET `path` and parses the response as JSON. Errors: `AdminError`.
leaf::result<nlohmann::json> FetchAdminJson(const std::string& admin,
                                            const std::string& path);

}  // namespace verbenastile

#endif  // CLI_ADMIN_CALL_H_
