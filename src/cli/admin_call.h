// One request to a node's admin address.
#ifndef CLI_ADMIN_CALL_H_
#define CLI_ADMIN_CALL_H_

#include <boost/leaf/result.hpp>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace verbenastile {

namespace leaf = boost::leaf;

// A node that gave no good answer.
struct AdminError {
  std::string reason;
};

struct AdminCall {
  std::string admin;  // IP:PORT
  std::string method = "GET";
  std::string path;
  std::string token;  // Empty: none is sent.
};

// The body of the answer. Errors: `AdminError`.
leaf::result<std::string> CallAdmin(const AdminCall& call);

// The answer to GET `path`, read as JSON. Errors: `AdminError`.
leaf::result<nlohmann::json> FetchAdminJson(const std::string& admin,
                                            const std::string& path);

}  // namespace verbenastile

#endif  // CLI_ADMIN_CALL_H_
