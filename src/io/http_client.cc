#include "io/http_client.h"

#include <curl/curl.h>
#include <fmt/format.h>

#include <algorithm>
#include <asio/post.hpp>
#include <map>
#include <optional>
#include <vector>

#include "io/chunk_decoder.h"
#include "io/curl_driver.h"
#include "io/http1_syntax.h"

namespace verbenastile {
namespace {

constexpr long kMaxHeaderBytes = 65'536;
constexpr std::size_t kMaxSpareHandles = 256;
// Connections that have been idle for longer are not reused. Servers commonly
// keep idle connections for longer than this, so that they rarely close one
// just as a request is sent on it.
constexpr long kMaxIdleSeconds = 4;
// How many stale reused connections one call may encounter and replace.
constexpr int kMaxStaleConnections = 3;
constexpr long kDefaultBufferBytes = 16'384;

struct EasyDeleter {
  void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};
struct ListDeleter {
  void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using EasyPointer = std::unique_ptr<CURL, EasyDeleter>;
using ListPointer = std::unique_ptr<curl_slist, ListDeleter>;

// The state of one call in flight.
struct Transfer {
  std::uint64_t id = 0;
  CurlDriver* driver = nullptr;
  EasyPointer easy;
  HttpCall call;
  ListPointer header_list;
  HttpResponse response;
  std::size_t header_bytes = 0;
  int send_count = 0;  // How often the request was handed to a connection.
  int stale_connections = 0;      // Found stale before the request was sent.
  bool connection_stale = false;  // Of the connection chosen last.
  bool expects_status_line = true;
  bool headers_complete = false;
  std::optional<ChunkDecoder> chunk_decoder;
  bool ends_with_connection = false;  // The body of the response.
  bool pause_requested = false;       // No further body chunk may be delivered.
  bool paused = false;                // Libcurl has been told to pause.
  bool cancelled = false;
  bool too_large = false;
  bool malformed = false;
  std::function<void(HttpOutcome)> on_done;
};

// Returns false to abort the call.
bool DeliverBody(Transfer* transfer, std::string_view part) {
  if (transfer->call.on_data) {
    return part.empty() ||
           (transfer->call.on_data(part) && !transfer->cancelled);
  }
  HttpResponse& response = transfer->response;
  if (response.body.size() + part.size() > transfer->call.max_response_bytes) {
    transfer->too_large = true;
    return false;
  }
  response.body.append(part);
  return true;
}

std::size_t OnBody(char* data, std::size_t, std::size_t size, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const std::string_view chunk(data, size);
  if (transfer->cancelled) {
    return 0;
  }
  if (!transfer->headers_complete) {
    transfer->malformed = true;
    return 0;
  }
  if (transfer->pause_requested) {
    transfer->paused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  std::string decoded;
  std::string_view part = chunk;
  if (transfer->chunk_decoder) {
    // Bytes behind the last chunk belong to no call.
    transfer->chunk_decoder->Feed(chunk, decoded);
    transfer->malformed = transfer->chunk_decoder->malformed();
    part = decoded;
  }
  return !transfer->malformed && DeliverBody(transfer, part) ? size : 0;
}

// Handles the blank line after the headers. Returning false aborts the call.
bool FinishHeaders(Transfer* transfer) {
  long status = 0;
  curl_easy_getinfo(transfer->easy.get(), CURLINFO_RESPONSE_CODE, &status);
  if (!IsResponseStatus(static_cast<int>(status))) {
    transfer->malformed = true;
    return false;
  }
  if (status < kFirstFinalStatus) {
    transfer->expects_status_line = true;  // Of the final response.
    return true;
  }
  const auto body = ParseBodyHeaders(transfer->response.headers);
  if (!body) {
    transfer->malformed = true;
    return false;
  }
  const bool may_have_body = transfer->call.method != "HEAD" &&
                             !IsStatusWithoutBody(static_cast<int>(status));
  if (may_have_body && body->chunked) {
    transfer->chunk_decoder.emplace();
  }
  transfer->ends_with_connection =
      may_have_body && !body->chunked && !body->length;
  transfer->headers_complete = true;
  transfer->response.status = static_cast<int>(status);
  if (transfer->call.on_headers) {
    transfer->call.on_headers(transfer->response);
  }
  return !transfer->cancelled;
}

std::string_view WithoutLineEnd(std::string_view line) {
  for (const char byte : {'\n', '\r'}) {
    if (line.ends_with(byte)) {
      line.remove_suffix(1);
    }
  }
  return line;
}

// Returns false if the line is not valid.
bool AddHeadLine(Transfer* transfer, std::string_view line) {
  if (std::exchange(transfer->expects_status_line, false)) {
    transfer->response.headers.clear();
    return IsStatusLine(line);
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const HttpHeader header{std::string(line.substr(0, colon)),
                          std::string(TrimWhitespace(line.substr(colon + 1)))};
  transfer->response.headers.push_back(header);
  return IsValidHeader(header);
}

std::size_t OnHeader(char* data, std::size_t, std::size_t size, void* user) {
  auto* transfer = static_cast<Transfer*>(user);
  const std::string_view line(data, size);
  transfer->header_bytes += size;
  if (transfer->header_bytes > kMaxHeaderBytes) {
    transfer->too_large = true;
    return 0;
  }
  if (transfer->headers_complete) {
    return size;  // Trailers are not passed on.
  }
  if (line == "\r\n" || line == "\n") {
    return FinishHeaders(transfer) ? size : 0;
  }
  if (!AddHeadLine(transfer, WithoutLineEnd(line))) {
    transfer->malformed = true;
    return 0;
  }
  return size;
}

// Called by libcurl when a connection is ready, before the request is sent.
// When a reused connection turns out to be closed, libcurl retransmits any
// request by itself; this aborts the retransmission unless the call allows it.
// A stale connection is rejected too, and the transfer then starts over on a
// new one.
int OnBeforeRequest(void* user, char*, char*, int, int local_port) {
  auto* transfer = static_cast<Transfer*>(user);
  if (transfer->send_count > 0 && !transfer->call.may_resend) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (!transfer->driver->IsReusable(local_port)) {
    transfer->connection_stale = true;
    curl_easy_setopt(transfer->easy.get(), CURLOPT_FORBID_REUSE, 1L);
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer->send_count;
  return CURL_PREREQFUNC_OK;
}

// A new connection for a request that was already sent could only serve a
// retransmission, which is refused unless the call allows it.
curl_socket_t OnOpenSocket(void* user, curlsocktype, curl_sockaddr* address) {
  auto* transfer = static_cast<Transfer*>(user);
  if (transfer->send_count > 0 && !transfer->call.may_resend) {
    return CURL_SOCKET_BAD;
  }
  return transfer->driver->OpenSocket(*address);
}

HttpFailure::Kind FailureKind(CURLcode code, const Transfer& transfer) {
  if (transfer.too_large) {
    return HttpFailure::Kind::kTooLarge;
  }
  if (transfer.malformed) {
    return HttpFailure::Kind::kBroken;
  }
  switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return transfer.send_count == 0 ? HttpFailure::Kind::kConnect
                                      : HttpFailure::Kind::kBroken;
    case CURLE_OPERATION_TIMEDOUT:
      return transfer.send_count == 0 ? HttpFailure::Kind::kConnect
                                      : HttpFailure::Kind::kTimeout;
    case CURLE_WRITE_ERROR:
      return HttpFailure::Kind::kCancelled;
    default:
      return HttpFailure::Kind::kBroken;
  }
}

std::string_view FailureDetail(CURLcode code, const Transfer& transfer) {
  if (transfer.malformed) {
    return "the response is not valid HTTP/1.1";
  }
  return code == CURLE_OK ? "the response ended early"
                          : curl_easy_strerror(code);
}

// Whether the response is complete if libcurl says so. Libcurl stops sending
// when the server ends the connection, so that the end of a body without a
// length may be that of a connection that failed under the request.
bool IsComplete(const Transfer& transfer) {
  if (transfer.chunk_decoder) {
    return transfer.chunk_decoder->done();
  }
  curl_off_t sent = 0;
  curl_easy_getinfo(transfer.easy.get(), CURLINFO_SIZE_UPLOAD_T, &sent);
  const bool is_sent =
      static_cast<std::size_t>(sent) == transfer.call.body.size();
  return transfer.headers_complete &&
         (is_sent || !transfer.ends_with_connection);
}

long ToCurlMilliseconds(Duration duration) {
  return static_cast<long>(std::max<std::int64_t>(1, ToMilliseconds(duration)));
}

void SetBody(CURL* easy, const HttpCall& call) {
  if (call.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    return;
  }
  const bool has_body = !call.body.empty();
  if (has_body || call.method == "POST" || call.method == "PUT") {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
  }
}

// In libcurl's header lists, "Name;" sends a header with an empty value,
// and "Name:" stops libcurl from adding that header by itself.
ListPointer MakeHeaderList(const HttpCall& call) {
  curl_slist* list = curl_slist_append(nullptr, "Expect:");
  for (const HttpHeader& header : call.headers) {
    if (IsHopByHop(header.name) ||
        SameHeaderName(header.name, "content-length")) {
      continue;
    }
    const std::string line = header.value.empty()
                                 ? header.name + ";"
                                 : header.name + ": " + header.value;
    list = curl_slist_append(list, line.c_str());
  }
  for (const char* header_name : {"Content-Type", "Accept"}) {
    if (FindHeader(call.headers, header_name).empty()) {
      list = curl_slist_append(list, fmt::format("{}:", header_name).c_str());
    }
  }
  return ListPointer(list);
}

}  // namespace

class HttpClient::Impl {
 public:
  Impl(asio::io_context& io, std::size_t max_idle)
      : driver_(io, max_idle, [this](CURL* easy, CURLcode code) {
          Finish(easy, code);
        }) {}

  ~Impl() {
    for (auto& [id, transfer] : transfers_) {
      curl_multi_remove_handle(driver_.multi(), transfer->easy.get());
    }
  }

  HttpCallHandle Start(HttpCall call,
                       std::function<void(HttpOutcome)> on_done) {
    auto transfer = std::make_unique<Transfer>();
    const std::uint64_t id = ++last_id_;
    transfer->id = id;
    transfer->driver = &driver_;
    transfer->call = std::move(call);
    transfer->on_done = std::move(on_done);
    transfer->easy = AcquireHandle();
    Prepare(transfer.get());
    transfers_.emplace(id, std::move(transfer));
    driver_.RunOrDefer([this, id] { Add(id); });
    return {id};
  }

  void Cancel(HttpCallHandle handle) {
    Transfer* transfer = Find(handle.id);
    if (transfer == nullptr) {
      return;
    }
    transfer->on_done = nullptr;
    transfer->cancelled = true;
    driver_.RunOrDefer([this, id = handle.id] { Release(id); });
  }

  void Pause(HttpCallHandle handle) {
    if (Transfer* transfer = Find(handle.id)) {
      transfer->pause_requested = true;
    }
  }

  void Resume(HttpCallHandle handle) {
    Transfer* transfer = Find(handle.id);
    if (transfer == nullptr || !transfer->pause_requested) {
      return;
    }
    transfer->pause_requested = false;
    if (transfer->paused) {
      driver_.RunOrDefer([this, id = handle.id] { ContinueTransfer(id); });
    }
  }

  std::size_t active() const { return transfers_.size(); }
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t bytes_received() const { return bytes_received_; }
  std::uint64_t connects() const { return connects_; }

 private:
  Transfer* Find(std::uint64_t id) {
    const auto found = transfers_.find(id);
    return found == transfers_.end() ? nullptr : found->second.get();
  }

  void Add(std::uint64_t id) {
    if (const Transfer* transfer = Find(id)) {
      curl_multi_add_handle(driver_.multi(), transfer->easy.get());
    }
  }

  void ContinueTransfer(std::uint64_t id) {
    Transfer* transfer = Find(id);
    if (transfer != nullptr && transfer->paused && !transfer->pause_requested) {
      transfer->paused = false;
      driver_.CallCurl([easy = transfer->easy.get()] {
        curl_easy_pause(easy, CURLPAUSE_CONT);
      });
    }
  }

  EasyPointer AcquireHandle() {
    if (spare_handles_.empty()) {
      return EasyPointer(curl_easy_init());
    }
    EasyPointer easy = std::move(spare_handles_.back());
    spare_handles_.pop_back();
    return easy;
  }

  void Prepare(Transfer* transfer) {
    CURL* easy = transfer->easy.get();
    curl_easy_reset(easy);
    const HttpCall& call = transfer->call;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    if (!call.target.empty()) {
      curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.target.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, kDefaultBufferBytes);
    // Libcurl decodes chunks that are not valid.
    curl_easy_setopt(easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, kMaxIdleSeconds);
    SetTimeouts(easy, call);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, OnBeforeRequest);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, OnHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, OnOpenSocket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer);
    driver_.SetCloseCallback(easy);
    SetBody(easy, call);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    transfer->header_list = MakeHeaderList(call);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->header_list.get());
  }

  static void SetTimeouts(CURL* easy, const HttpCall& call) {
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     ToCurlMilliseconds(call.connect_timeout));
    if (call.timeout > Duration::zero()) {
      curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                       ToCurlMilliseconds(call.timeout));
    }
    if (call.stall_timeout > Duration::zero()) {
      const auto seconds =
          std::chrono::ceil<std::chrono::seconds>(call.stall_timeout);
      curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME,
                       static_cast<long>(seconds.count()));
    }
  }

  void Release(std::uint64_t id) {
    const auto found = transfers_.find(id);
    if (found == transfers_.end()) {
      return;
    }
    CURL* easy = found->second->easy.get();
    curl_multi_remove_handle(driver_.multi(), easy);
    RecordTransferStats(easy);
    if (spare_handles_.size() < kMaxSpareHandles) {
      spare_handles_.push_back(std::move(found->second->easy));
    }
    transfers_.erase(found);
  }

  void RecordTransferStats(CURL* easy) {
    long request = 0;
    long headers = 0;
    long connects = 0;
    curl_off_t upload = 0;
    curl_off_t download = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request);
    curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &headers);
    curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
    curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &upload);
    curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &download);
    bytes_sent_ += static_cast<std::uint64_t>(request + upload);
    bytes_received_ += static_cast<std::uint64_t>(headers + download);
    connects_ += static_cast<std::uint64_t>(connects);
  }

  void Finish(CURL* easy, CURLcode code) {
    Transfer* transfer = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
    if (transfer->connection_stale && !transfer->cancelled &&
        transfer->stale_connections < kMaxStaleConnections) {
      RestartOnNewConnection(transfer);
      return;
    }
    HttpOutcome outcome = MakeOutcome(transfer, code);
    const auto on_done = std::move(transfer->on_done);
    Release(transfer->id);
    if (on_done) {
      on_done(std::move(outcome));
    }
  }

  // Restarts the transfer on a new connection. This is safe because no byte of
  // the request was sent on the stale one.
  void RestartOnNewConnection(Transfer* transfer) {
    CURL* easy = transfer->easy.get();
    ++transfer->stale_connections;
    transfer->connection_stale = false;
    transfer->expects_status_line = true;
    curl_multi_remove_handle(driver_.multi(), easy);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 0L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_multi_add_handle(driver_.multi(), easy);
  }

  static HttpOutcome MakeOutcome(Transfer* transfer, CURLcode code) {
    if (code == CURLE_OK && IsComplete(*transfer)) {
      return std::move(transfer->response);
    }
    return HttpFailure{FailureKind(code, *transfer), transfer->send_count == 0,
                       std::string(FailureDetail(code, *transfer))};
  }

  std::map<std::uint64_t, std::unique_ptr<Transfer>> transfers_;
  CurlDriver driver_;
  std::vector<EasyPointer> spare_handles_;
  std::uint64_t last_id_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t bytes_received_ = 0;
  std::uint64_t connects_ = 0;
};

HttpClient::HttpClient(asio::io_context& io, std::size_t max_idle)
    : impl_(std::make_unique<Impl>(io, max_idle)) {}
HttpClient::~HttpClient() = default;

HttpCallHandle HttpClient::Start(HttpCall call,
                                 std::function<void(HttpOutcome)> on_done) {
  return impl_->Start(std::move(call), std::move(on_done));
}

void HttpClient::Cancel(HttpCallHandle handle) {
  impl_->Cancel(handle);
}

void HttpClient::Pause(HttpCallHandle handle) {
  impl_->Pause(handle);
}

void HttpClient::Resume(HttpCallHandle handle) {
  impl_->Resume(handle);
}

std::uint64_t HttpClient::connects() const {
  return impl_->connects();
}

std::size_t HttpClient::active() const {
  return impl_->active();
}

std::uint64_t HttpClient::bytes_sent() const {
  return impl_->bytes_sent();
}

std::uint64_t HttpClient::bytes_received() const {
  return impl_->bytes_received();
}

}  // namespace verbenastile
