// A stand-in for callers: keeps a number of requests in flight against one or
// more URLs in turn, and reports how they were answered and how long it took.
//
//   standin_load --url URL [--url URL]... [--seconds N] [--connections N]
//                [--method M] [--group G[:SHARE]]... [--rate N] [--count N]
//                [--body B] [--ids FILE] [--failover] [--print] [--json]
//
// With --rate, requests start at that rate whatever the answers do. Several
// groups take turns in proportion to their shares. Each request carries an id
// of its own; --ids writes each id with its answer, to be compared with what
// the upstreams recorded. With --failover a request that could not be sent goes
// to the next URL. SIGTERM ends the run early, with a report. Exit code 0 when
// every answer was 2xx.
#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <unistd.h>
#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "io/http_client.h"

namespace verbenastile {
namespace {

// A group of callers and its share of the requests.
struct GroupShare {
  std::string name;
  std::size_t share = 1;
};

// What became of the requests of one group.
struct GroupCounts {
  std::uint64_t sent = 0;
  std::uint64_t good = 0;
  std::vector<std::int64_t> latencies;  // Of good answers.
};

constexpr std::size_t kMaxIdleConnections = 4'096;

struct LoadPlan {
  std::vector<std::string> urls;
  std::string method;
  std::vector<GroupShare> groups;
  std::string deadline_ms;
  std::string ids_file;
  bool failover = false;
  std::string service;
  Duration length{0};
  std::size_t connections = 1;
  std::size_t rate = 0;   // Requests per second; 0: one after the other.
  std::size_t count = 0;  // Requests in all; 0: until `length` is over.
  std::string body;
  bool print = false;  // Prints each answer's body.
};

class Load {
 public:
  Load(asio::io_context& io, LoadPlan plan)
      : plan_(std::move(plan)),
        client_(io, kMaxIdleConnections),
        timer_(io),
        signals_(io, SIGTERM, SIGINT) {}

  void Start() {
    for (std::size_t i = 0; i < plan_.groups.size(); ++i) {
      turns_.insert(turns_.end(), plan_.groups[i].share, i);
    }
    counts_.resize(plan_.groups.size());
    if (!plan_.ids_file.empty()) {
      ids_.open(plan_.ids_file);
    }
    start_ = SteadyNow();
    signals_.async_wait([this](const asio::error_code& error, int) {
      stopped_ = !error;
      EndWhenDone();
    });
    if (plan_.rate > 0) {
      Pace();
      return;
    }
    for (std::size_t i = 0; i < plan_.connections && !finished(); ++i) {
      Send(true);
    }
  }

  nlohmann::json Report() {
    std::sort(latencies_.begin(), latencies_.end());
    std::sort(good_latencies_.begin(), good_latencies_.end());
    nlohmann::json groups = nlohmann::json::object();
    for (std::size_t i = 0; i < counts_.size(); ++i) {
      GroupCounts& counts = counts_[i];
      std::sort(counts.latencies.begin(), counts.latencies.end());
      groups[plan_.groups[i].name] = {
          {"sent", counts.sent},
          {"good", counts.good},
          {"p50_us", Quantile(counts.latencies, 0.5)},
          {"p99_us", Quantile(counts.latencies, 0.99)}};
    }
    const double seconds = ToMilliseconds(last_ - start_) / 1'000.0;
    return {{"sent", sent_},
            {"answers", statuses_},
            {"failures", failures_},
            {"seconds", seconds},
            {"per_second", seconds > 0 ? latencies_.size() / seconds : 0.0},
            {"good", good_latencies_.size()},
            {"good_per_second",
             seconds > 0 ? good_latencies_.size() / seconds : 0.0},
            {"not_run", not_run_},
            {"moved", moved_},
            {"unknown", unknown_},
            {"p50_us", Quantile(latencies_, 0.5)},
            {"p90_us", Quantile(latencies_, 0.9)},
            {"p99_us", Quantile(latencies_, 0.99)},
            {"max_us", Quantile(latencies_, 1.0)},
            {"good_p50_us", Quantile(good_latencies_, 0.5)},
            {"good_p99_us", Quantile(good_latencies_, 0.99)},
            {"groups", std::move(groups)}};
  }

  bool all_good() const {
    return failures_.empty() &&
           std::all_of(statuses_.begin(), statuses_.end(),
                       [](const auto& s) { return s.first.starts_with("2"); });
  }

 private:
  bool finished() const {
    return stopped_ || (plan_.count > 0 ? sent_ >= plan_.count
                                        : SteadyNow() - start_ >= plan_.length);
  }

  void EndWhenDone() {
    if (finished() && client_.active() == 0) {
      signals_.cancel();
      timer_.cancel();
    }
  }

  void Pace() {
    const auto due =
        static_cast<std::size_t>((SteadyNow() - start_).count() *
                                 static_cast<double>(plan_.rate) / 1'000'000.0);
    while (sent_ < due && !finished()) {
      Send(false);
    }
    timer_.expires_after(std::chrono::milliseconds(1));
    timer_.async_wait([this](const asio::error_code& error) {
      if (!error && !finished()) {
        Pace();
      } else {
        EndWhenDone();
      }
    });
  }

  void Send(bool again) {
    HttpCall call;
    call.method = plan_.method;
    call.url = plan_.urls[sent_ % plan_.urls.size()];
    ++sent_;
    const std::string id = fmt::format("load-{}-{}", getpid(), sent_);
    call.headers = {{"x-verbena-request-id", id}};
    const std::size_t group =
        turns_.empty() ? kNoGroup : turns_[sent_ % turns_.size()];
    if (group != kNoGroup) {
      ++counts_[group].sent;
      call.headers.push_back({"x-verbena-group", plan_.groups[group].name});
    }
    if (!plan_.deadline_ms.empty()) {
      call.headers.push_back({"x-verbena-deadline-ms", plan_.deadline_ms});
    }
    if (!plan_.service.empty()) {
      call.headers.push_back({"x-verbena-service", plan_.service});
    }
    if (plan_.method == "POST" || plan_.method == "PUT") {
      call.body = plan_.body;
    }
    const Time begin = SteadyNow();
    Start(std::move(call), 0, begin, id, group, again);
  }

  void Start(HttpCall call,
             std::size_t moves,
             Time begin,
             const std::string& id,
             std::size_t group,
             bool again) {
    HttpCall copy = plan_.failover ? call : HttpCall();
    client_.Start(
        std::move(call), [this, copy = std::move(copy), moves, id, group, begin,
                          again](const HttpOutcome& outcome) mutable {
          const auto* failure = std::get_if<HttpFailure>(&outcome);
          if (plan_.failover && failure != nullptr && failure->not_sent &&
              moves + 1 < plan_.urls.size()) {
            copy.url = plan_.urls[++next_url_ % plan_.urls.size()];
            ++moved_;
            Start(std::move(copy), moves + 1, begin, id, group, again);
            return;
          }
          OnDone(id, group, begin, outcome);
          if (again && !finished()) {
            Send(true);
          }
          EndWhenDone();
        });
  }

  void OnDone(const std::string& id,
              std::size_t group,
              Time begin,
              const HttpOutcome& outcome) {
    last_ = SteadyNow();
    const std::int64_t latency = (last_ - begin).count();
    latencies_.push_back(latency);
    WriteId(id, outcome);
    if (const auto* answer = std::get_if<HttpResponse>(&outcome)) {
      ++statuses_[std::to_string(answer->status)];
      const auto told = FindHeader(answer->headers, "x-verbena-outcome");
      not_run_ += told == "not-run" ? 1 : 0;
      unknown_ += told == "unknown" ? 1 : 0;
      if (answer->status < kFirstBadStatus) {
        good_latencies_.push_back(latency);
        if (group != kNoGroup) {
          ++counts_[group].good;
          counts_[group].latencies.push_back(latency);
        }
      }
      if (plan_.print) {
        fmt::print("{}\n", answer->body);
      }
    } else {
      ++failures_[std::get<HttpFailure>(outcome).detail];
    }
  }

  // "ID STATUS OUTCOME"; the status is 0 without a whole answer.
  void WriteId(const std::string& id, const HttpOutcome& outcome) {
    if (!ids_.is_open()) {
      return;
    }
    const auto* answer = std::get_if<HttpResponse>(&outcome);
    const auto* failure = std::get_if<HttpFailure>(&outcome);
    std::string told = "-";
    if (answer != nullptr) {
      const auto header = FindHeader(answer->headers, "x-verbena-outcome");
      told = header.empty() ? "-" : std::string(header);
    } else if (failure->not_sent) {
      told = "not-sent";
    }
    ids_ << id << ' ' << (answer == nullptr ? 0 : answer->status) << ' ' << told
         << '\n';
  }

  // Of sorted values.
  static std::int64_t Quantile(const std::vector<std::int64_t>& sorted,
                               double q) {
    if (sorted.empty()) {
      return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(q * last)];
  }

  static constexpr std::size_t kNoGroup = ~std::size_t{0};
  static constexpr int kFirstBadStatus = 300;

  LoadPlan plan_;
  HttpClient client_;
  asio::steady_timer timer_;
  asio::signal_set signals_;
  bool stopped_ = false;
  Time start_;
  Time last_;
  std::size_t sent_ = 0;
  std::vector<std::int64_t> latencies_;
  std::vector<std::int64_t> good_latencies_;
  std::vector<std::size_t> turns_;  // Indices of groups.
  std::vector<GroupCounts> counts_;
  std::size_t next_url_ = 0;
  std::uint64_t moved_ = 0;  // Sent to another URL.
  std::uint64_t not_run_ = 0;
  std::uint64_t unknown_ = 0;
  std::ofstream ids_;
  std::map<std::string, std::uint64_t> statuses_;
  std::map<std::string, std::uint64_t> failures_;
};

// Reads "NAME" or "NAME:SHARE".
GroupShare ParseGroup(const std::string& text) {
  const auto colon = text.find(':');
  if (colon == std::string::npos) {
    return {text, 1};
  }
  return {text.substr(0, colon),
          std::strtoull(text.c_str() + colon + 1, nullptr, 10)};
}

int Run(int argc, char** argv) {
  TCLAP::CmdLine cmd("Stand-in for callers", ' ', "1");
  TCLAP::MultiArg<std::string> urls("", "url", "URL to call", true, "URL", cmd);
  TCLAP::ValueArg<double> seconds("", "seconds", "length", false, 5, "N", cmd);
  TCLAP::ValueArg<int> connections("", "connections", "requests in flight",
                                   false, 8, "N", cmd);
  TCLAP::ValueArg<std::string> method("", "method", "HTTP method", false, "GET",
                                      "M", cmd);
  TCLAP::MultiArg<std::string> groups("", "group", "a group, and its share",
                                      false, "G[:SHARE]", cmd);
  TCLAP::ValueArg<std::string> deadline("", "deadline_ms", "deadline", false,
                                        "", "N", cmd);
  TCLAP::ValueArg<std::string> ids("", "ids", "file for the requests' ids",
                                   false, "", "FILE", cmd);
  TCLAP::ValueArg<std::string> service("", "service", "the service asked for",
                                       false, "", "S", cmd);
  TCLAP::ValueArg<int> rate("", "rate", "requests per second", false, 0, "N",
                            cmd);
  TCLAP::ValueArg<int> count("", "count", "requests in all", false, 0, "N",
                             cmd);
  TCLAP::ValueArg<std::string> body("", "body", "body of each request", false,
                                    "load", "B", cmd);
  TCLAP::SwitchArg failover("", "failover", "next URL when not sent", cmd);
  TCLAP::SwitchArg print("", "print", "print each answer, no report", cmd);
  TCLAP::SwitchArg as_json("", "json", "print JSON", cmd);
  cmd.parse(argc, argv);
  LoadPlan plan;
  plan.urls = urls.getValue();
  plan.method = method.getValue();
  for (const std::string& group : groups.getValue()) {
    plan.groups.push_back(ParseGroup(group));
  }
  plan.deadline_ms = deadline.getValue();
  plan.ids_file = ids.getValue();
  plan.service = service.getValue();
  plan.length = Duration(static_cast<std::int64_t>(seconds.getValue() * 1e6));
  plan.connections = static_cast<std::size_t>(connections.getValue());
  plan.rate = static_cast<std::size_t>(rate.getValue());
  plan.count = static_cast<std::size_t>(count.getValue());
  plan.body = body.getValue();
  plan.failover = failover.getValue();
  plan.print = print.getValue();
  asio::io_context io(1);
  Load load(io, std::move(plan));
  load.Start();
  io.run();
  if (print.getValue()) {
    return load.all_good() ? 0 : 1;
  }
  fmt::print("{}\n", load.Report().dump(as_json.getValue() ? -1 : 2));
  return load.all_good() ? 0 : 1;
}

}  // namespace
}  // namespace verbenastile

int main(int argc, char** argv) {
  return verbenastile::Run(argc, argv);
}
