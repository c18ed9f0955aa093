#include "io/platform_client.h"

#include <fmt/format.h>

#include <memory>

namespace verbenastile {
namespace {

using nlohmann::json;

constexpr const char* kApiPath = "/apis/verbenastile.dev/v1/namespaces";
constexpr const char* kApiVersion = "verbenastile.dev/v1";
constexpr Duration kWatchTimeout = std::chrono::seconds(55);
constexpr Duration kWatchTimeoutMargin = std::chrono::seconds(10);
constexpr std::size_t kMaxEventBytes = 2'000'000;

PlatformError ToPlatformError(const HttpFailure& failure, bool is_write) {
  const bool not_applied = failure.not_sent || !is_write;
  return {not_applied ? PlatformError::Kind::kUnavailable
                      : PlatformError::Kind::kUnknownOutcome,
          failure.detail};
}

PlatformError::Kind KindFromStatus(int status) {
  switch (status) {
    case 404:
      return PlatformError::Kind::kNotFound;
    case 409:
      return PlatformError::Kind::kConflict;
    case 410:
      return PlatformError::Kind::kGone;
    case 429:
    case 503:
      return PlatformError::Kind::kUnavailable;
    default:
      return status >= 500 ? PlatformError::Kind::kUnknownOutcome
                           : PlatformError::Kind::kRefused;
  }
}

PlatformObject ParseObject(const json& body) {
  PlatformObject object;
  const json& metadata = body.at("metadata");
  metadata.at("resourceVersion").get_to(object.resource_version);
  object.name = metadata.value("name", "");
  object.spec = body.value("spec", json::object());
  object.status = body.value("status", json::object());
  return object;
}

PlatformList ParseList(const json& body) {
  PlatformList list;
  body.at("metadata").at("resourceVersion").get_to(list.resource_version);
  for (const json& item : body.at("items")) {
    list.items.push_back(ParseObject(item));
  }
  return list;
}

// Converts the outcome of an HTTP call to a platform result.
template <typename T>
PlatformResult<T> ToResult(const HttpOutcome& outcome,
                           bool is_write,
                           T (*parse)(const json&)) {
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    return ToPlatformError(*failure, is_write);
  }
  const auto& answer = std::get<HttpAnswer>(outcome);
  if (answer.status >= 300) {
    return PlatformError{KindFromStatus(answer.status),
                         fmt::format("status {}", answer.status)};
  }
  try {
    return parse(json::parse(answer.body));
  } catch (const json::exception& error) {
    return PlatformError{is_write ? PlatformError::Kind::kUnknownOutcome
                                  : PlatformError::Kind::kMalformed,
                         error.what()};
  }
}

json ToJson(const PlatformObject& object, std::string_view kind) {
  json body = {{"apiVersion", kApiVersion},
               {"kind", kind},
               {"metadata", {{"name", object.name}}},
               {"spec", object.spec}};
  if (!object.resource_version.empty()) {
    body["metadata"]["resourceVersion"] = object.resource_version;
  }
  if (!object.status.is_null()) {
    body["status"] = object.status;
  }
  return body;
}

// Splits the stream of a watch into lines and parses each line as an event.
class WatchReader {
 public:
  // `open_bytes` includes the bytes of this watch for as long as it is open.
  WatchReader(PlatformClient::EventHandler on_event,
              std::shared_ptr<std::uint64_t> open_bytes)
      : on_event_(std::move(on_event)), open_bytes_(std::move(open_bytes)) {}
  ~WatchReader() { *open_bytes_ -= bytes_; }
  WatchReader(const WatchReader&) = delete;
  WatchReader& operator=(const WatchReader&) = delete;

  // Returns false if the stream cannot be read any further.
  bool Feed(std::string_view chunk) {
    bytes_ += chunk.size();
    *open_bytes_ += chunk.size();
    buffer_ += chunk;
    std::size_t begin = 0;
    for (auto end = buffer_.find('\n'); end != std::string::npos;
         end = buffer_.find('\n', begin)) {
      if (!ReadLine(std::string_view(buffer_).substr(begin, end - begin))) {
        return false;
      }
      begin = end + 1;
    }
    buffer_.erase(0, begin);
    return buffer_.size() <= kMaxEventBytes;
  }

  const std::optional<PlatformError>& error() const { return error_; }

 private:
  bool ReadLine(std::string_view line) {
    try {
      return ReadEvent(json::parse(line));
    } catch (const json::exception& error) {
      error_ = PlatformError{PlatformError::Kind::kMalformed, error.what()};
      return false;
    }
  }

  bool ReadEvent(const json& event) {
    const auto type = event.at("type").get<std::string>();
    if (type == "ERROR") {
      const int code = event.at("object").value("code", 500);
      error_ =
          PlatformError{KindFromStatus(code), fmt::format("code {}", code)};
      return false;
    }
    WatchEvent watch_event;
    watch_event.object = ParseObject(event.at("object"));
    if (type == "DELETED") {
      watch_event.kind = WatchEvent::Kind::kDeleted;
    } else if (type == "BOOKMARK") {
      watch_event.kind = WatchEvent::Kind::kBookmark;
    }
    on_event_(std::move(watch_event));
    return true;
  }

  PlatformClient::EventHandler on_event_;
  std::shared_ptr<std::uint64_t> open_bytes_;
  std::uint64_t bytes_ = 0;
  std::string buffer_;
  std::optional<PlatformError> error_;
};

std::optional<PlatformError> ToWatchError(const HttpOutcome& outcome,
                                          const WatchReader& reader) {
  if (reader.error()) {
    return reader.error();
  }
  if (const auto* failure = std::get_if<HttpFailure>(&outcome)) {
    if (failure->kind == HttpFailure::Kind::kTimeout && !failure->not_sent) {
      return std::nullopt;
    }
    return ToPlatformError(*failure, false);
  }
  const int status = std::get<HttpAnswer>(outcome).status;
  if (status >= 300) {
    return PlatformError{KindFromStatus(status),
                         fmt::format("status {}", status)};
  }
  return std::nullopt;
}

}  // namespace

std::string_view ToString(PlatformError::Kind kind) {
  switch (kind) {
    case PlatformError::Kind::kNotFound:
      return "not found";
    case PlatformError::Kind::kConflict:
      return "conflict";
    case PlatformError::Kind::kGone:
      return "gone";
    case PlatformError::Kind::kRefused:
      return "refused";
    case PlatformError::Kind::kUnavailable:
      return "unavailable";
    case PlatformError::Kind::kUnknownOutcome:
      return "outcome unknown";
    case PlatformError::Kind::kMalformed:
      return "malformed";
  }
  return "unknown";
}

PlatformClient::PlatformClient(HttpClient& http,
                               const PlatformSettings& settings)
    : http_(http), settings_(settings) {}

std::string PlatformClient::Url(std::string_view kind,
                                std::string_view name) const {
  std::string url = fmt::format("{}{}/{}/{}", settings_.url, kApiPath,
                                settings_.name_space, kind);
  if (!name.empty()) {
    url += fmt::format("/{}", name);
  }
  return url;
}

HttpCallHandle PlatformClient::Get(std::string_view kind,
                                   std::string_view name,
                                   ObjectHandler on_done) {
  HttpCall call;
  call.url = Url(kind, name);
  call.timeout = settings_.timeout;
  call.may_resend = true;
  ++calls_;
  return http_.Start(std::move(call), [on_done](const HttpOutcome& outcome) {
    on_done(ToResult<PlatformObject>(outcome, false, ParseObject));
  });
}

HttpCallHandle PlatformClient::Write(std::string method,
                                     std::string url,
                                     const json& body,
                                     ObjectHandler on_done) {
  HttpCall call;
  call.method = std::move(method);
  call.url = std::move(url);
  call.headers = {{"Content-Type", "application/json"}};
  call.body = body.dump();
  call.timeout = settings_.timeout;
  ++calls_;
  return http_.Start(std::move(call), [on_done](const HttpOutcome& outcome) {
    on_done(ToResult<PlatformObject>(outcome, true, ParseObject));
  });
}

HttpCallHandle PlatformClient::Create(std::string_view kind,
                                      std::string_view name,
                                      json spec,
                                      ObjectHandler on_done) {
  PlatformObject object;
  object.name = name;
  object.spec = std::move(spec);
  return Write("POST", Url(kind, {}), ToJson(object, kind), std::move(on_done));
}

HttpCallHandle PlatformClient::Update(std::string_view kind,
                                      const PlatformObject& object,
                                      ObjectHandler on_done) {
  return Write("PUT", Url(kind, object.name), ToJson(object, kind),
               std::move(on_done));
}

HttpCallHandle PlatformClient::UpdateStatus(std::string_view kind,
                                            const PlatformObject& object,
                                            ObjectHandler on_done) {
  return Write("PUT", Url(kind, object.name) + "/status", ToJson(object, kind),
               std::move(on_done));
}

HttpCallHandle PlatformClient::List(std::string_view kind,
                                    ListHandler on_done) {
  HttpCall call;
  call.url = Url(kind, {});
  call.timeout = settings_.timeout;
  call.may_resend = true;
  ++calls_;
  return http_.Start(std::move(call), [on_done](const HttpOutcome& outcome) {
    on_done(ToResult<PlatformList>(outcome, false, ParseList));
  });
}

HttpCallHandle PlatformClient::Watch(std::string_view kind,
                                     std::string_view name,
                                     std::string_view resource_version,
                                     EventHandler on_event,
                                     EndHandler on_end) {
  const auto reader =
      std::make_shared<WatchReader>(std::move(on_event), open_watch_bytes_);
  HttpCall call;
  call.url = fmt::format("{}?watch=1&resourceVersion={}&timeoutSeconds={}",
                         Url(kind, {}), resource_version,
                         ToMilliseconds(kWatchTimeout) / 1'000);
  if (!name.empty()) {
    call.url += fmt::format("&fieldSelector=metadata.name%3D{}", name);
  }
  call.timeout = kWatchTimeout + kWatchTimeoutMargin;
  call.may_resend = true;
  call.on_data = [reader](std::string_view chunk) {
    return reader->Feed(chunk);
  };
  ++calls_;
  return http_.Start(std::move(call),
                     [reader, on_end](const HttpOutcome& outcome) {
                       on_end(ToWatchError(outcome, *reader));
                     });
}

void PlatformClient::Cancel(HttpCallHandle handle) {
  http_.Cancel(handle);
}

}  // namespace verbenastile
