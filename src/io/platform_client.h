// A client of the platform's object API, which serves custom resources as JSON
// over HTTP and follows the conventions of the Kubernetes API.
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

// A custom resource. `resource_version` makes updates conditional.
struct PlatformObject {
  std::string name;
  std::string resource_version;
  nlohmann::json spec;
  nlohmann::json status;
};

struct PlatformError {
  enum class Kind {
    kNotFound,        // 404
    kConflict,        // 409: version mismatch, or the name already exists.
    kGone,            // 410: the watch's resource version has expired.
    kRefused,         // Any other response that rules out an effect.
    kUnavailable,     // Not sent, or rejected with 429 or 503: no effect.
    kUnknownOutcome,  // No usable response: a write may have taken effect.
    kMalformed,       // The response cannot be parsed.
  };

  Kind kind = Kind::kUnavailable;
  std::string detail;
};

// Returns a lower-case description of `kind`.
std::string_view ToString(PlatformError::Kind kind);

template <typename T>
using PlatformResult = std::variant<T, PlatformError>;

struct PlatformList {
  std::string resource_version;
  std::vector<PlatformObject> items;
};

// An event of a watch. `kPut` stands for an added or a modified object.
struct WatchEvent {
  enum class Kind { kPut, kDeleted, kBookmark };

  Kind kind = Kind::kPut;
  PlatformObject object;
};

// Not thread-safe: use only on the thread of its `HttpClient`. Each call sends
// one request.
class PlatformClient {
 public:
  using ObjectHandler = std::function<void(PlatformResult<PlatformObject>)>;
  using ListHandler = std::function<void(PlatformResult<PlatformList>)>;
  using EventHandler = std::function<void(WatchEvent)>;
  // Called when a watch ends: with an error, or with nothing if it ended
  // normally.
  using EndHandler = std::function<void(std::optional<PlatformError>)>;

  PlatformClient(HttpClient& http, const PlatformSettings& settings);

  HttpCallHandle Get(std::string_view kind,
                     std::string_view name,
                     ObjectHandler on_done);
  HttpCallHandle Create(std::string_view kind,
                        std::string_view name,
                        nlohmann::json spec,
                        ObjectHandler on_done);
  // Fails with `kConflict` unless the object still has
  // `object.resource_version`.
  HttpCallHandle Update(std::string_view kind,
                        const PlatformObject& object,
                        ObjectHandler on_done);
  // Updates only the status, through the status subresource.
  HttpCallHandle UpdateStatus(std::string_view kind,
                              const PlatformObject& object,
                              ObjectHandler on_done);
  HttpCallHandle List(std::string_view kind, ListHandler on_done);
  // Watches the object called `name`, or all objects of `kind` if `name` is
  // empty, starting after `resource_version`.
  HttpCallHandle Watch(std::string_view kind,
                       std::string_view name,
                       std::string_view resource_version,
                       EventHandler on_event,
                       EndHandler on_end);
  void Cancel(HttpCallHandle handle);

  // The number of requests so far; a watch counts as one.
  std::uint64_t calls() const { return calls_; }

  // Bytes of calls that have ended. `bytes_received` also includes what open
  // watches have received so far.
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
  // Shared with watches, which may outlive the client.
  std::shared_ptr<std::uint64_t> open_watch_bytes_ =
      std::make_shared<std::uint64_t>(0);
};

}  // namespace verbenastile

#endif  // IO_PLATFORM_CLIENT_H_
