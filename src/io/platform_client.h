// A client of the platform's object API: custom resources over HTTP and JSON
// by the conventions of the Kubernetes API.
#ifndef IO_PLATFORM_CLIENT_H_
#define IO_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/settings.h"
#include "io/http_client.h"

namespace verbenastile {

// An object: its name, the version for conditional updates, and its content.
struct PlatformObject {
  std::string name;
  std::string resource_version;
  nlohmann::json spec;
  nlohmann::json status;
};

struct PlatformError {
  enum class Kind {
    kNotFound,        // 404
    kConflict,        // 409: another version, or the name exists.
    kGone,            // 410: the watch is too old.
    kRefused,         // Any other answer that says it was not done.
    kUnavailable,     // Not sent, or a plain "not now": not done.
    kUnknownOutcome,  // Sent, and no answer: a write may have taken effect.
    kMalformed,       // An answer that cannot be read.
  };

  Kind kind = Kind::kUnavailable;
  std::string detail;
};

// The name of `kind` in lower case.
std::string_view ToString(PlatformError::Kind kind);

template <typename T>
using PlatformResult = std::variant<T, PlatformError>;

struct PlatformList {
  std::string resource_version;
  std::vector<PlatformObject> items;
};

// One event of a watch.
struct WatchEvent {
  enum class Kind { kPut, kDeleted, kBookmark };

  Kind kind = Kind::kPut;
  PlatformObject object;
};

// Belongs to the thread of its `HttpClient`. Each call is one request.
class PlatformClient {
 public:
  using ObjectHandler = std::function<void(PlatformResult<PlatformObject>)>;
  using ListHandler = std::function<void(PlatformResult<PlatformList>)>;
  using EventHandler = std::function<void(WatchEvent)>;
  // Runs when a watch is over: an error, or nothing when it just ended.
  using EndHandler = std::function<void(std::optional<PlatformError>)>;

  PlatformClient(HttpClient& http, const PlatformSettings& settings);

  HttpCallHandle Get(std::string_view kind,
                     std::string_view name,
                     ObjectHandler on_done);
  HttpCallHandle Create(std::string_view kind,
                        std::string_view name,
                        nlohmann::json spec,
                        ObjectHandler on_done);
  // Conflicts unless the object still has `object.resource_version`.
  HttpCallHandle Update(std::string_view kind,
                        const PlatformObject& object,
                        ObjectHandler on_done);
  // Writes the status alone, by the status subresource.
  HttpCallHandle UpdateStatus(std::string_view kind,
                              const PlatformObject& object,
                              ObjectHandler on_done);
  HttpCallHandle List(std::string_view kind, ListHandler on_done);
  // Watches all objects of `kind`, or the one called `name`, from
  // `resource_version` on.
  HttpCallHandle Watch(std::string_view kind,
                       std::string_view name,
                       std::string_view resource_version,
                       EventHandler on_event,
                       EndHandler on_end);
  void Cancel(HttpCallHandle handle);

  // Requests so far; a watch counts as one.
  std::uint64_t calls() const { return calls_; }

  // Bytes of ended calls and of what open watches gave so far.
  std::uint64_t bytes_sent() const { return http_.bytes_sent(); }
  std::uint64_t bytes_received() const {
    return http_.bytes_received() + *open_watch_bytes_;
  }

 private:
  std::string Url(std::string_view kind, std::string_view name) const;
  HttpCallHandle Write(std::string method,
                       std::string url,
                       const nlohmann::json& body,
                       ObjectHandler on_done);

  HttpClient& http_;
  PlatformSettings settings_;
  std::uint64_t calls_ = 0;
  // Shared with watches, which may end after the client.
  std::shared_ptr<std::uint64_t> open_watch_bytes_ =
      std::make_shared<std::uint64_t>(0);
};

}  // namespace verbenastile

#endif  // IO_PLATFORM_CLIENT_H_
