// A stand-in for the platform's object API: the part of the Kubernetes
// conventions that this project uses, and faults on demand.
//
//   standin_store --listen IP:PORT [--data FILE]
//
// Faults and counts, beside the API:
//   POST /control/fault   {"mode": "ok|down|refuse", "delay_ms": N,
//                          "lose_answers": N, "lose_one_in": N}
//   POST /control/reset-watches          ends all watches
//   POST /control/forget-events          makes all watches too old (410)
//   POST /control/save, /control/restore a backup and its return
//   GET  /control/stats                  calls, by kind and by second
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "base/log.h"
#include "base/time.h"
#include "io/http_server.h"

namespace verbenastile {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxEvents = 4'096;
constexpr std::size_t kMaxValueBytes = 1'048'576;
constexpr std::string_view kApiPrefix = "/apis/verbenastile.dev/v1/namespaces/";
constexpr std::size_t kMaxSeconds = 3'600;

struct StoredEvent {
  std::uint64_t version = 0;
  std::string kind;
  std::string type;
  json object;
};

// What a request's path names.
struct Place {
  std::string kind;
  std::string name;
  bool status = false;
};

std::optional<Place> ParsePlace(std::string_view path) {
  if (!path.starts_with(kApiPrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kApiPrefix.size());
  std::vector<std::string> parts;
  while (!path.empty()) {
    const auto end = std::min(path.find('/'), path.size());
    parts.emplace_back(path.substr(0, end));
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  if (parts.size() < 2 || parts.size() > 4 ||
      (parts.size() == 4 && parts[3] != "status")) {
    return std::nullopt;
  }
  Place place;
  place.kind = parts[0] + "/" + parts[1];
  place.name = parts.size() > 2 ? parts[2] : "";
  place.status = parts.size() == 4;
  return place;
}

// Objects with versions, and the events that watches are fed from.
class ObjectStore {
 public:
  using Objects = std::map<std::string, json>;

  struct Answer {
    int status = 200;
    json body;
  };

  Answer Get(const Place& place) const {
    const json* object = Find(place);
    return object == nullptr ? Failure(404, "not found") : Answer{200, *object};
  }

  Answer List(const Place& place) const {
    json items = json::array();
    const auto kind = kinds_.find(place.kind);
    if (kind != kinds_.end()) {
      for (const auto& [name, object] : kind->second) {
        items.push_back(object);
      }
    }
    return {200,
            {{"metadata", {{"resourceVersion", std::to_string(version_)}}},
             {"items", std::move(items)}}};
  }

  Answer Create(const Place& place, json object) {
    const std::string name = object.at("metadata").value("name", "");
    if (name.empty()) {
      return Failure(422, "metadata.name is missing");
    }
    if (kinds_[place.kind].contains(name)) {
      return Failure(409, "already exists");
    }
    object.erase("status");
    return {201, Put(place.kind, name, std::move(object), "ADDED")};
  }

  Answer Update(const Place& place, const json& object) {
    const json* known = Find(place);
    if (known == nullptr) {
      return Failure(404, "not found");
    }
    const json& metadata = object.at("metadata");
    const json& known_version = (*known)["metadata"]["resourceVersion"];
    if (metadata.contains("resourceVersion") &&
        metadata["resourceVersion"] != known_version) {
      return Failure(409, "another version");
    }
    json changed = *known;
    const char* part = place.status ? "status" : "spec";
    changed[part] = object.value(part, json::object());
    return {200, Put(place.kind, place.name, std::move(changed), "MODIFIED")};
  }

  Answer Delete(const Place& place) {
    const json* known = Find(place);
    if (known == nullptr) {
      return Failure(404, "not found");
    }
    json object = *known;
    kinds_[place.kind].erase(place.name);
    Record(place.kind, "DELETED", object);
    return {200, object};
  }

  // Whether events after `version` are all still known.
  bool Remembers(std::uint64_t version) const {
    return version >= oldest_ && version <= version_;
  }

  const std::deque<StoredEvent>& events() const { return events_; }
  std::uint64_t version() const { return version_; }

  void ForgetEvents() {
    events_.clear();
    oldest_ = ++version_;
  }

  json ToJson() const { return {{"version", version_}, {"kinds", kinds_}}; }

  void FromJson(const json& saved) {
    version_ = std::max(version_, saved.at("version").get<std::uint64_t>());
    kinds_ = saved.at("kinds").get<std::map<std::string, Objects>>();
    ForgetEvents();
  }

  static Answer Failure(int status, std::string_view message) {
    return {status,
            {{"kind", "Status"}, {"code", status}, {"message", message}}};
  }

 private:
  const json* Find(const Place& place) const {
    const auto kind = kinds_.find(place.kind);
    if (kind == kinds_.end()) {
      return nullptr;
    }
    const auto object = kind->second.find(place.name);
    return object == kind->second.end() ? nullptr : &object->second;
  }

  json Put(const std::string& kind,
           const std::string& name,
           json object,
           const char* type) {
    object["metadata"]["resourceVersion"] = std::to_string(version_ + 1);
    Record(kind, type, object);
    kinds_[kind][name] = object;
    return object;
  }

  void Record(const std::string& kind, const char* type, const json& object) {
    events_.push_back({++version_, kind, type, object});
    if (events_.size() > kMaxEvents) {
      oldest_ = events_.front().version;
      events_.pop_front();
    }
  }

  std::map<std::string, Objects> kinds_;
  std::deque<StoredEvent> events_;
  std::uint64_t version_ = 1;
  std::uint64_t oldest_ = 1;  // Watches may begin here.
};

// Calls by kind and by second.
class CallCounts {
 public:
  void Count(const std::string& what) {
    ++by_kind_[what];
    const auto second =
        static_cast<std::size_t>(ToMilliseconds(SteadyNow() - start_) / 1'000);
    if (by_second_.size() <= second && second < kMaxSeconds) {
      by_second_.resize(second + 1);
    }
    if (second < by_second_.size()) {
      ++by_second_[second];
    }
  }

  json ToJson(std::size_t open_watches) const {
    return {{"calls", by_kind_},
            {"calls_by_second", by_second_},
            {"seconds", ToMilliseconds(SteadyNow() - start_) / 1'000.0},
            {"open_watches", open_watches}};
  }

 private:
  Time start_ = SteadyNow();
  std::map<std::string, std::uint64_t> by_kind_;
  std::vector<std::uint64_t> by_second_;
};

struct Faults {
  std::string mode = "ok";
  int delay_ms = 0;
  int lose_answers = 0;  // The next writes take effect unanswered.
  int lose_one_in = 0;   // One write in this many takes effect unanswered.
};

// A watch that waits for events.
struct OpenWatch {
  HttpReply reply;
  std::string kind;
  std::string name;
  std::uint64_t next_version = 0;
  Time end;
  std::shared_ptr<bool> broken = std::make_shared<bool>(false);
};

class StoreServer {
 public:
  StoreServer(asio::io_context& io,
              const SocketAddress& address,
              std::string data_file)
      : io_(io),
        timer_(io),
        data_file_(std::move(data_file)),
        server_(io,
                Init(address),
                [this](HttpRequest request, HttpReply reply) {
                  OnRequest(std::move(request), std::move(reply));
                }) {
    Load();
  }

  void Open() {
    server_.Open([this](const std::string& error) {
      if (!error.empty()) {
        Log(LogLevel::kError, "store", "Cannot listen.", {{"error", error}});
        io_.stop();
      }
    });
    Tick();
  }

 private:
  static HttpServerInit Init(const SocketAddress& address) {
    HttpServerInit init;
    init.address = address;
    init.max_body_bytes = 2 * kMaxValueBytes;
    return init;
  }

  void OnRequest(HttpRequest request, HttpReply reply) {
    if (request.path().starts_with("/control/")) {
      OnControl(request, std::move(reply));
      return;
    }
    const auto place = ParsePlace(request.path());
    counts_.Count(KindOfCall(request));
    if (faults_.mode == "down") {
      reply.Abort();
      return;
    }
    if (faults_.mode == "refuse") {
      SendJson(reply, ObjectStore::Failure(503, "unavailable"));
      return;
    }
    if (!place) {
      SendJson(reply, ObjectStore::Failure(404, "no such path"));
      return;
    }
    if (faults_.delay_ms == 0) {
      Serve(*place, request, std::move(reply));
      return;
    }
    Delay(*place, std::move(request), std::move(reply));
  }

  void Delay(const Place& place, HttpRequest request, HttpReply reply) {
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::milliseconds(faults_.delay_ms));
    auto held = std::make_shared<HttpReply>(std::move(reply));
    timer->async_wait([this, timer, place, request = std::move(request),
                       held](const asio::error_code&) {
      Serve(place, request, std::move(*held));
    });
  }

  static std::string KindOfCall(const HttpRequest& request) {
    if (request.method != "GET") {
      return "write";
    }
    return QueryValue(request.query(), "watch").empty() ? "read" : "watch";
  }

  void Serve(const Place& place, const HttpRequest& request, HttpReply reply) {
    if (request.method == "GET") {
      ServeRead(place, request, std::move(reply));
      return;
    }
    if (request.body.size() > kMaxValueBytes) {
      SendJson(reply, ObjectStore::Failure(413, "the value is too large"));
      return;
    }
    const auto answer = ServeWrite(place, request);
    Save();
    FeedWatches();
    if (LosesAnswer()) {
      reply.Abort();
      return;
    }
    SendJson(reply, answer);
  }

  void ServeRead(const Place& place,
                 const HttpRequest& request,
                 HttpReply reply) {
    if (!QueryValue(request.query(), "watch").empty()) {
      ServeWatch(place, request, std::move(reply));
      return;
    }
    SendJson(reply,
             place.name.empty() ? store_.List(place) : store_.Get(place));
  }

  ObjectStore::Answer ServeWrite(const Place& place,
                                 const HttpRequest& request) {
    try {
      if (request.method == "POST") {
        return store_.Create(place, json::parse(request.body));
      }
      if (request.method == "PUT") {
        return store_.Update(place, json::parse(request.body));
      }
      if (request.method == "DELETE") {
        return store_.Delete(place);
      }
    } catch (const json::exception& error) {
      return ObjectStore::Failure(400, error.what());
    }
    return ObjectStore::Failure(405, "no such method");
  }

  bool LosesAnswer() {
    if (faults_.lose_answers > 0) {
      --faults_.lose_answers;
      return true;
    }
    return faults_.lose_one_in > 0 &&
           random_() % static_cast<unsigned>(faults_.lose_one_in) == 0;
  }

  void ServeWatch(const Place& place,
                  const HttpRequest& request,
                  HttpReply reply) {
    const std::string from(QueryValue(request.query(), "resourceVersion"));
    const std::uint64_t version = std::strtoull(from.c_str(), nullptr, 10);
    if (!store_.Remembers(version)) {
      SendJson(reply, ObjectStore::Failure(410, "too old"));
      return;
    }
    const std::string seconds(QueryValue(request.query(), "timeoutSeconds"));
    const std::string_view selector =
        QueryValue(request.query(), "fieldSelector");
    constexpr std::string_view kByName = "metadata.name%3D";
    OpenWatch watch{
        std::move(reply), place.kind,
        selector.starts_with(kByName)
            ? std::string(selector.substr(kByName.size()))
            : std::string(),
        version + 1,
        SteadyNow() + std::chrono::seconds(std::atoi(seconds.c_str()))};
    const HttpHeader type{"Content-Type", "application/json"};
    watch.reply.StartStream(200, {&type, 1});
    watches_.push_back(std::move(watch));
    FeedWatches();
  }

  void FeedWatches() {
    for (OpenWatch& watch : watches_) {
      for (const StoredEvent& event : store_.events()) {
        if (event.version < watch.next_version) {
          continue;
        }
        watch.next_version = event.version + 1;
        const bool wanted = event.kind == watch.kind &&
                            (watch.name.empty() ||
                             event.object["metadata"]["name"] == watch.name);
        if (wanted) {
          const json line = {{"type", event.type}, {"object", event.object}};
          WriteLine(watch, line);
        }
      }
    }
    std::erase_if(watches_, [](const OpenWatch& w) { return *w.broken; });
  }

  static void WriteLine(OpenWatch& watch, const json& line) {
    watch.reply.Write(line.dump() + "\n",
                      [broken = watch.broken](bool written) {
                        *broken = *broken || !written;
                      });
  }

  void Tick() {
    timer_.expires_after(std::chrono::milliseconds(200));
    timer_.async_wait([this](const asio::error_code& error) {
      if (error) {
        return;
      }
      const Time now = SteadyNow();
      for (OpenWatch& watch : watches_) {
        if (watch.end <= now) {
          watch.reply.Finish();
          *watch.broken = true;
        }
      }
      std::erase_if(watches_, [](const OpenWatch& w) { return *w.broken; });
      Tick();
    });
  }

  void EndWatches() {
    for (OpenWatch& watch : watches_) {
      watch.reply.Finish();
    }
    watches_.clear();
  }

  void OnControl(const HttpRequest& request, HttpReply reply) {
    try {
      SendJson(reply, {200, RunControl(request)});
    } catch (const json::exception& error) {
      SendJson(reply, ObjectStore::Failure(400, error.what()));
    }
  }

  json RunControl(const HttpRequest& request) {
    const auto path = request.path();
    if (path == "/control/fault") {
      SetFaults(json::parse(request.body));
    } else if (path == "/control/reset-watches") {
      EndWatches();
    } else if (path == "/control/forget-events") {
      EndWatches();
      store_.ForgetEvents();
    } else if (path == "/control/save") {
      backup_ = store_.ToJson();
    } else if (path == "/control/restore") {
      EndWatches();
      store_.FromJson(backup_);
    }
    return counts_.ToJson(watches_.size());
  }

  void SetFaults(const json& body) {
    faults_.mode = body.value("mode", "ok");
    faults_.delay_ms = body.value("delay_ms", 0);
    faults_.lose_answers = body.value("lose_answers", 0);
    faults_.lose_one_in = body.value("lose_one_in", 0);
    if (faults_.mode != "ok") {
      EndWatches();
    }
  }

  static void SendJson(HttpReply& reply, const ObjectStore::Answer& answer) {
    const HttpHeader type{"Content-Type", "application/json"};
    reply.Send(answer.status, {&type, 1}, answer.body.dump());
  }

  void Load() {
    if (data_file_.empty() || !std::filesystem::exists(data_file_)) {
      return;
    }
    std::ifstream stream(data_file_);
    store_.FromJson(json::parse(stream));
  }

  void Save() {
    if (data_file_.empty()) {
      return;
    }
    const std::string fresh = data_file_ + ".new";
    std::ofstream(fresh) << store_.ToJson().dump();
    std::filesystem::rename(fresh, data_file_);
  }

  asio::io_context& io_;
  asio::steady_timer timer_;
  std::string data_file_;
  ObjectStore store_;
  CallCounts counts_;
  Faults faults_;
  json backup_ = store_.ToJson();
  std::list<OpenWatch> watches_;
  std::mt19937 random_{1};
  HttpServer server_;
};

int Run(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in for the platform's object API", ' ', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "IP:PORT to serve", true,
                                      "", "IP:PORT", cmd);
  TCLAP::ValueArg<std::string> data("", "data", "file that keeps the objects",
                                    false, "", "FILE", cmd);
  cmd.parse(argc, argv);
  const auto address = ParseSocketAddress(listen.getValue());
  if (!address) {
    Log(LogLevel::kError, "store", "The address is malformed.");
    return 2;
  }
  asio::io_context io(1);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { io.stop(); });
  StoreServer server(io, *address, data.getValue());
  server.Open();
  io.run();
  return 0;
}

}  // namespace
}  // namespace verbenastile

int main(int argc, char** argv) {
  return verbenastile::Run(argc, argv);
}
