// A stand-in for an upstream instance: a bounded number of slots, a time per
// request, and a record of what ran, so that doubled and lost requests show.
//
//   standin_upstream --listen IP:PORT --name NAME [--slots N] [--work_ms N]
//                    [--delay_us N] [--cold_ms N] [--ignore_cancel]
//
// A request's header x-verbena-request-id, or its query's id, names it in the
// record. Its query may ask for more:
//   work_ms=N      time in a slot, in place of the setting
//   bytes=N        size of the answer; large ones are written in parts
//   pace=N         bytes per second of the answer
//   hang=1         never answers
//   half=1         answers half of the bytes and closes the connection
//   status=N       the answer's status
// Beside its service:
//   POST /control/behaviour   any of the keys of `Behaviour` below, as JSON
//   GET  /control/record      counts, and the ids that ran more than once
//   GET  /control/ids         the ids of all requests that ran, one a line
//   GET  /healthz             "ok", also when the upstream is not: it may lie
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "base/log.h"
#include "base/time.h"
#include "io/http_server.h"

namespace verbenastile {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kPartBytes = 65'536;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;

struct Behaviour {
  int work_ms = 0;
  int delay_us = 0;  // Of the network, one way; spent outside the slot.
  int cold_ms = 0;   // After the start, work takes `cold_factor` times as long.
  int cold_factor = 10;
  std::uint64_t fail_one_in = 0;    // Answers 500 after it ran.
  std::uint64_t refuse_one_in = 0;  // Answers 503 before it runs.
  std::uint64_t cut_one_in = 0;     // Runs, and closes without an answer.
  bool leaving = false;             // Announced on each answer.
  bool health_lies = true;          // /healthz is "ok" whatever happens.
  bool ignore_cancel = false;       // Works on when the caller has gone.

  void Read(const json& body) {
    work_ms = body.value("work_ms", work_ms);
    delay_us = body.value("delay_us", delay_us);
    cold_ms = body.value("cold_ms", cold_ms);
    cold_factor = body.value("cold_factor", cold_factor);
    fail_one_in = body.value("fail_one_in", fail_one_in);
    refuse_one_in = body.value("refuse_one_in", refuse_one_in);
    cut_one_in = body.value("cut_one_in", cut_one_in);
    leaving = body.value("leaving", leaving);
    health_lies = body.value("health_lies", health_lies);
    ignore_cancel = body.value("ignore_cancel", ignore_cancel);
  }
};

// What ran, by request id.
class RunRecord {
 public:
  void Ran(const std::string& id, const std::string& group) {
    ++total_;
    ++by_group_[group];
    if (!id.empty()) {
      ++runs_[id];
    }
  }

  std::uint64_t total() const { return total_; }

  json Doubled() const {
    json doubled = json::object();
    for (const auto& [id, count] : runs_) {
      if (count > 1) {
        doubled[id] = count;
      }
    }
    return doubled;
  }

  std::string Ids() const {
    std::string ids;
    for (const auto& [id, count] : runs_) {
      for (std::uint64_t i = 0; i < count; ++i) {
        ids += id + "\n";
      }
    }
    return ids;
  }

  std::size_t distinct() const { return runs_.size(); }
  const std::map<std::string, std::uint64_t>& by_group() const {
    return by_group_;
  }

 private:
  std::uint64_t total_ = 0;
  std::map<std::string, std::uint64_t> runs_;
  std::map<std::string, std::uint64_t> by_group_;
};

// The number for `key` in the request's query; `fallback` when it is missing.
std::uint64_t Wanted(const HttpRequest& request,
                     std::string_view key,
                     std::uint64_t fallback) {
  const std::string text(QueryValue(request.query(), key));
  return text.empty() ? fallback : std::strtoull(text.c_str(), nullptr, 10);
}

// Writes an answer of a given size, part by part, at a given pace.
class PacedAnswer : public std::enable_shared_from_this<PacedAnswer> {
 public:
  PacedAnswer(asio::io_context& io,
              HttpReply reply,
              std::uint64_t bytes,
              std::uint64_t pace,
              std::uint64_t cut_after,
              std::function<void()> on_end)
      : timer_(io),
        reply_(std::move(reply)),
        bytes_(bytes),
        pace_(pace),
        cut_after_(cut_after),
        on_end_(std::move(on_end)) {}

  void Start(int status, std::span<const HttpHeader> headers) {
    reply_.OnDisconnect([self = shared_from_this()] { self->End(); });
    reply_.StartStream(status, headers, bytes_);
    Next();
  }

 private:
  void Next() {
    if (ended_) {
      return;
    }
    if (written_ >= cut_after_) {
      reply_.Abort();
      End();
      return;
    }
    if (written_ >= bytes_) {
      reply_.Finish();
      End();
      return;
    }
    const std::uint64_t size = std::min(
        {std::uint64_t{kPartBytes}, bytes_ - written_, cut_after_ - written_});
    written_ += size;
    reply_.Write(std::string(size, 'x'),
                 [self = shared_from_this(), size](bool written) {
                   self->OnWritten(written, size);
                 });
  }

  void OnWritten(bool written, std::uint64_t size) {
    if (!written) {
      End();
      return;
    }
    if (pace_ == 0) {
      Next();
      return;
    }
    timer_.expires_after(microseconds(size * 1'000'000 / pace_));
    timer_.async_wait(
        [self = shared_from_this()](const asio::error_code&) { self->Next(); });
  }

  void End() {
    if (!ended_) {
      ended_ = true;
      on_end_();
    }
  }

  asio::steady_timer timer_;
  HttpReply reply_;
  std::uint64_t bytes_;
  std::uint64_t pace_;
  std::uint64_t cut_after_;
  std::uint64_t written_ = 0;
  bool ended_ = false;
  std::function<void()> on_end_;
};

struct Job {
  Job(asio::io_context& io, HttpRequest from, HttpReply to)
      : request(std::move(from)), reply(std::move(to)), timer(io) {}

  HttpRequest request;
  HttpReply reply;
  asio::steady_timer timer;
  bool running = false;
  bool gone = false;
};

class UpstreamServer {
 public:
  UpstreamServer(asio::io_context& io,
                 const SocketAddress& address,
                 std::string name,
                 std::size_t slots,
                 Behaviour behaviour)
      : io_(io),
        name_(std::move(name)),
        slots_(slots),
        behaviour_(behaviour),
        begin_(SteadyNow()),
        server_(io,
                Init(address),
                [this](HttpRequest request, HttpReply reply) {
                  OnRequest(std::move(request), std::move(reply));
                }) {}

  void Open() {
    server_.Open([this](const std::string& error) {
      if (!error.empty()) {
        Log(LogLevel::kError, "upstream", "Cannot listen.", {{"error", error}});
        io_.stop();
      }
    });
  }

 private:
  using JobPointer = std::shared_ptr<Job>;

  static HttpServerInit Init(const SocketAddress& address) {
    HttpServerInit init;
    init.address = address;
    return init;
  }

  void OnRequest(HttpRequest request, HttpReply reply) {
    const auto path = request.path();
    if (path == "/control/behaviour") {
      behaviour_.Read(json::parse(request.body, nullptr, false));
      reply.Send(200, {}, "");
    } else if (path == "/control/record") {
      reply.Send(200, {}, Record().dump());
    } else if (path == "/control/ids") {
      reply.Send(200, {}, record_.Ids());
    } else if (path == "/healthz") {
      const bool good = behaviour_.health_lies || !behaviour_.leaving;
      reply.Send(good ? 200 : kUnavailable, {}, good ? "ok\n" : "leaving\n");
    } else {
      Arrive(std::make_shared<Job>(io_, std::move(request), std::move(reply)));
    }
  }

  void Arrive(const JobPointer& job) {
    job->reply.OnDisconnect([this, weak = std::weak_ptr<Job>(job)] {
      if (const auto held = weak.lock()) {
        OnGone(held);
      }
    });
    AfterDelay(job, [this, job] { Queue(job); });
  }

  // The network's delay one way.
  void AfterDelay(const JobPointer& job, std::function<void()> task) {
    if (behaviour_.delay_us == 0) {
      task();
      return;
    }
    job->timer.expires_after(microseconds(behaviour_.delay_us));
    job->timer.async_wait(
        [task = std::move(task)](const asio::error_code&) { task(); });
  }

  bool OneIn(std::uint64_t rate) { return rate > 0 && random_() % rate == 0; }

  void Queue(const JobPointer& job) {
    if (job->gone) {
      return;
    }
    if (OneIn(behaviour_.refuse_one_in)) {
      Answer(job, kUnavailable);
      return;
    }
    waiting_.push_back(job);
    most_waiting_ = std::max(most_waiting_, waiting_.size());
    StartWaiting();
  }

  void StartWaiting() {
    while (running_ < slots_ && !waiting_.empty()) {
      const JobPointer job = waiting_.front();
      waiting_.pop_front();
      if (!job->gone || behaviour_.ignore_cancel) {
        StartJob(job);
      }
    }
  }

  void StartJob(const JobPointer& job) {
    job->running = true;
    ++running_;
    most_running_ = std::max(most_running_, running_);
    record_.Ran(IdOf(job->request), std::string(FindHeader(job->request.headers,
                                                           "x-verbena-group")));
    if (Wanted(job->request, "hang", 0) > 0) {
      hanging_.push_back(job);
      return;
    }
    const milliseconds work = WorkOf(job->request);
    if (work.count() == 0) {
      Finish(job);
      return;
    }
    job->timer.expires_after(work);
    job->timer.async_wait([this, job](const asio::error_code&) {
      if (job->running) {
        Finish(job);
      }
    });
  }

  milliseconds WorkOf(const HttpRequest& request) const {
    milliseconds work(Wanted(request, "work_ms",
                             static_cast<std::uint64_t>(behaviour_.work_ms)));
    if (SteadyNow() - begin_ < milliseconds(behaviour_.cold_ms)) {
      work *= behaviour_.cold_factor;
    }
    return work;
  }

  static std::string IdOf(const HttpRequest& request) {
    const auto id = FindHeader(request.headers, "x-verbena-request-id");
    return std::string(id.empty() ? QueryValue(request.query(), "id") : id);
  }

  void OnGone(const JobPointer& job) {
    job->gone = true;
    ++gone_;
    if (job->running && !behaviour_.ignore_cancel) {
      std::erase(hanging_, job);
      job->timer.cancel();
      Free(job);
    }
  }

  void Free(const JobPointer& job) {
    if (std::exchange(job->running, false)) {
      --running_;
      StartWaiting();
    }
  }

  void Finish(const JobPointer& job) {
    if (job->gone) {
      Free(job);
      return;
    }
    if (OneIn(behaviour_.cut_one_in)) {
      job->reply.Abort();
      Free(job);
      return;
    }
    const bool fails = OneIn(behaviour_.fail_one_in);
    const int status = static_cast<int>(
        Wanted(job->request, "status", fails ? kServerError : 200));
    if (Wanted(job->request, "bytes", 0) > kPartBytes ||
        Wanted(job->request, "half", 0) > 0) {
      Stream(job, status);
      return;
    }
    Free(job);
    AfterDelay(job, [this, job, status] { Answer(job, status); });
  }

  // A stream holds its slot to the end.
  void Stream(const JobPointer& job, int status) {
    const std::uint64_t bytes = Wanted(job->request, "bytes", 1'000);
    const bool half = Wanted(job->request, "half", 0) > 0;
    const auto answer = std::make_shared<PacedAnswer>(
        io_, std::move(job->reply), bytes, Wanted(job->request, "pace", 0),
        half ? bytes / 2 : bytes + 1, [this, job] { Free(job); });
    answer->Start(status, Headers());
  }

  HttpHeaders Headers() const {
    HttpHeaders headers = {{"Content-Type", "text/plain"},
                           {"x-upstream", name_}};
    if (behaviour_.leaving) {
      headers.push_back({"x-verbena-leaving", "1"});
    }
    return headers;
  }

  void Answer(const JobPointer& job, int status) {
    if (job->gone) {
      return;
    }
    const HttpRequest& request = job->request;
    std::string body = fmt::format("{} {} {} {}\n", name_, request.method,
                                   request.target, request.body);
    const std::uint64_t size = Wanted(request, "bytes", 0);
    if (size > 0) {
      body.assign(size, 'x');
    }
    job->reply.Send(status, Headers(), std::move(body));
  }

  json Record() const {
    return {{"name", name_},
            {"total", record_.total()},
            {"running", running_},
            {"most_running", most_running_},
            {"most_waiting", most_waiting_},
            {"gone", gone_},
            {"distinct", record_.distinct()},
            {"by_group", record_.by_group()},
            {"doubled", record_.Doubled()}};
  }

  asio::io_context& io_;
  std::string name_;
  std::size_t slots_;
  Behaviour behaviour_;
  Time begin_;
  std::deque<JobPointer> waiting_;
  std::vector<JobPointer> hanging_;
  std::size_t running_ = 0;
  std::size_t most_running_ = 0;
  std::size_t most_waiting_ = 0;
  std::uint64_t gone_ = 0;
  RunRecord record_;
  std::mt19937_64 random_{1};
  HttpServer server_;
};

int Run(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in for an upstream instance", ' ', "1");
  TCLAP::ValueArg<std::string> listen("", "listen", "IP:PORT to serve", true,
                                      "", "IP:PORT", cmd);
  TCLAP::ValueArg<std::string> name("", "name", "name in answers", true, "",
                                    "NAME", cmd);
  TCLAP::ValueArg<int> slots("", "slots", "requests at one time", false, 10,
                             "N", cmd);
  TCLAP::ValueArg<int> work("", "work_ms", "time per request", false, 0, "N",
                            cmd);
  TCLAP::ValueArg<int> delay("", "delay_us", "network delay one way", false, 0,
                             "N", cmd);
  TCLAP::ValueArg<int> cold("", "cold_ms", "time of a cold start", false, 0,
                            "N", cmd);
  TCLAP::SwitchArg ignore("", "ignore_cancel", "work on for gone callers", cmd);
  cmd.parse(argc, argv);
  const auto address = ParseSocketAddress(listen.getValue());
  if (!address) {
    Log(LogLevel::kError, "upstream", "The address is malformed.");
    return 2;
  }
  Behaviour behaviour;
  behaviour.work_ms = work.getValue();
  behaviour.delay_us = delay.getValue();
  behaviour.cold_ms = cold.getValue();
  behaviour.ignore_cancel = ignore.getValue();
  asio::io_context io(1);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const asio::error_code&, int) { io.stop(); });
  UpstreamServer server(io, *address, name.getValue(),
                        static_cast<std::size_t>(slots.getValue()), behaviour);
  server.Open();
  io.run();
  return 0;
}

}  // namespace
}  // namespace verbenastile

int main(int argc, char** argv) {
  return verbenastile::Run(argc, argv);
}
