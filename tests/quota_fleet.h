// Nodes that share the quota of one group, with links between them that take
// time, break and are cut. Callers arrive at random times.
#ifndef TESTS_QUOTA_FLEET_H_
#define TESTS_QUOTA_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "core/group_quotas.h"

namespace verbenastile {

constexpr Duration kQuotaSecond = std::chrono::seconds(1);

class QuotaFleet {
 public:
  QuotaFleet(std::size_t nodes, double rate, QuotaLimits limits = {})
      : limits_(limits), nodes_(nodes), side_(nodes, 0) {
    group_.name = "tenant";
    group_.requests = {rate, rate};
    for (std::size_t i = 0; i < nodes; ++i) {
      Start(i);
    }
    UpdateMembers();
    Run(10 * kQuotaSecond);
  }

  // Callers send `per_second` requests to the nodes [first, last), each to one
  // of them at random, for `period`.
  void Call(double per_second,
            std::size_t first,
            std::size_t last,
            Duration period) {
    const Time end = now_ + period;
    std::exponential_distribution<double> gap(per_second);
    std::uniform_int_distribution<std::size_t> node(first, last - 1);
    for (Time at = now_;;) {
      at += Duration(static_cast<std::int64_t>(gap(random_) * 1e6));
      if (at >= end) {
        break;
      }
      At(at, [this, chosen = node(random_)] { Request(chosen); });
    }
  }
  void Run(Duration period) {
    const Time end = now_ + period;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      now_ = event.key();
      event.mapped()();
    }
    now_ = end;
  }

  // The processes end at once, and their links with them; they start again
  // after `pause`, and are linked a little later.
  void Restart(std::size_t first, std::size_t last, Duration pause) {
    for (std::size_t i = first; i < last; ++i) {
      refused_ += nodes_[i]->waiting.size();
      nodes_[i].reset();
    }
    for (std::size_t i = first; i < last; ++i) {
      ForEach([&](Node& node) {
        node.quotas.OnMemberLost(NameOf(i), false, now_);
      });
    }
    UpdateMembers();
    At(now_ + pause, [this, first, last] {
      for (std::size_t i = first; i < last; ++i) {
        Start(i);
      }
      UpdateMembers();
    });
  }
  // The nodes [first, last) cannot reach the others for `period`, which takes
  // each node up to `notice` to find out.
  void Cut(std::size_t first,
           std::size_t last,
           Duration period,
           Duration notice) {
    SetSide(first, last, 1);
    At(now_ + notice, [this] {
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        for (std::size_t j = 0; j < nodes_.size(); ++j) {
          if (nodes_[i] && side_[i] != side_[j]) {
            nodes_[i]->quotas.OnMemberLost(NameOf(j), true, now_);
          }
        }
      }
      UpdateMembers();
    });
    At(now_ + period, [this, first, last] {
      SetSide(first, last, 0);
      UpdateMembers();
    });
  }
  // The instances refuse all requests for `period`.
  void RefuseAtInstances(Duration period) { refusing_until_ = now_ + period; }
  void SetQuota(double rate) {
    group_.requests = {rate, rate};
    ForEach([&](Node& node) { node.quotas.SetGroups({&group_, 1}, now_); });
  }
  // The index of the node that coordinates the group.
  std::size_t Coordinator() const {
    QuotaPeers peers("");
    peers.SetGroups({group_.name}, now_);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      names.push_back(NameOf(i));
    }
    peers.SetMembers(names, names.size(), names.size(), now_);
    const auto found =
        std::find(names.begin(), names.end(), peers.CoordinatorOf("tenant"));
    return static_cast<std::size_t>(found - names.begin());
  }

  // The highest number of requests admitted in a window, from `since` on.
  std::size_t MostInWindow(Time since = Time()) const {
    std::size_t most = 0;
    auto first = std::lower_bound(admitted_.begin(), admitted_.end(), since);
    for (auto last = first; last != admitted_.end(); ++last) {
      while (*last - *first >= limits_.window) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }
  // What the rule allows in a window.
  double Allowed() const {
    const double seconds =
        std::chrono::duration<double>(limits_.window).count();
    return (group_.requests.per_second * seconds + group_.requests.burst) *
               (1 + limits_.over) +
           limits_.slack;
  }
  std::size_t admitted() const { return admitted_.size(); }
  std::size_t refused() const { return refused_; }
  Duration longest_wait() const { return longest_wait_; }
  std::size_t messages() const { return messages_; }
  Duration last_retry_after() const { return last_retry_after_; }
  Duration longest_retry_after() const { return longest_retry_after_; }
  Time now() const { return now_; }

 private:
  static constexpr Duration kLinkDelay = std::chrono::milliseconds(1);
  static constexpr Duration kRefusalTime = std::chrono::milliseconds(2);
  static constexpr Duration kTick = std::chrono::milliseconds(100);

  struct Node {
    explicit Node(std::string name, const QuotaLimits& limits)
        : quotas(std::move(name), limits) {}
    GroupQuotas quotas;
    std::vector<Time> waiting;
    Time started;
  };

  static std::string NameOf(std::size_t i) { return "n" + std::to_string(i); }
  void At(Time at, std::function<void()> event) {
    events_.emplace(at, std::move(event));
  }
  void ForEach(const std::function<void(Node&)>& visit) {
    for (const auto& node : nodes_) {
      if (node) {
        visit(*node);
      }
    }
  }
  void Start(std::size_t i) {
    nodes_[i] = std::make_shared<Node>(NameOf(i), limits_);
    nodes_[i]->started = now_;
    nodes_[i]->quotas.SetGroups({&group_, 1}, now_);
    Tick(i, nodes_[i]);
  }
  void SetSide(std::size_t first, std::size_t last, int side) {
    std::fill(side_.begin() + static_cast<std::ptrdiff_t>(first),
              side_.begin() + static_cast<std::ptrdiff_t>(last), side);
  }
  void Tick(std::size_t i, const std::weak_ptr<Node>& weak) {
    if (const auto node = weak.lock()) {
      node->quotas.Tick(now_);
      Work(i);
      At(now_ + kTick, [this, i, weak] { Tick(i, weak); });
    }
  }
  void UpdateMembers() {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      QuotaMembers members;
      members.known = nodes_.size();
      for (std::size_t j = 0; j < nodes_.size(); ++j) {
        if (nodes_[j] && side_[i] == side_[j]) {
          members.candidates.push_back(NameOf(j));
        }
      }
      members.linked = members.candidates.size();
      members.all_new = 2 * members.linked > members.known;
      for (std::size_t j = 0; nodes_[i] && j < nodes_.size(); ++j) {
        members.all_new =
            members.all_new && !(nodes_[j] && side_[i] == side_[j] &&
                                 nodes_[j]->started < nodes_[i]->started);
      }
      if (nodes_[i]) {
        nodes_[i]->quotas.SetMembers(members, now_);
        Work(i);
      }
    }
  }
  void Request(std::size_t i) {
    if (!nodes_[i]) {
      return;  // The caller finds no node here.
    }
    const QuotaVerdict verdict = nodes_[i]->quotas.Request(group_, now_);
    if (verdict.decision == QuotaDecision::kWait) {
      nodes_[i]->waiting.push_back(now_);
    } else {
      Count(i, verdict);
    }
    Work(i);
  }
  void Count(std::size_t i, const QuotaVerdict& verdict) {
    if (verdict.decision == QuotaDecision::kAdmit && now_ < refusing_until_) {
      At(now_ + kRefusalTime, [this, weak = std::weak_ptr<Node>(nodes_[i])] {
        if (const auto node = weak.lock()) {
          node->quotas.GiveBack(group_.name, kRefusalTime);
        }
      });
    } else if (verdict.decision == QuotaDecision::kAdmit) {
      admitted_.push_back(now_);
    } else {
      ++refused_;
      last_retry_after_ = verdict.retry_after;
      longest_retry_after_ =
          std::max(longest_retry_after_, verdict.retry_after);
    }
  }
  // Settles what waits at the node and sends what it has to say.
  void Work(std::size_t i) {
    Node& node = *nodes_[i];
    std::erase_if(node.waiting, [&](Time since) {
      const QuotaVerdict verdict =
          node.quotas.Settle(group_.name, since + kMaxQuotaWait, now_);
      if (verdict.decision != QuotaDecision::kWait) {
        Count(i, verdict);
        longest_wait_ = std::max(longest_wait_, now_ - since);
      }
      return verdict.decision != QuotaDecision::kWait;
    });
    for (auto& [name, needs] : node.quotas.TakeNeeds(now_)) {
      const std::size_t to = std::stoul(name.substr(1));
      Deliver(i, to, [this, i, to, sent = std::move(needs)] {
        auto loans = nodes_[to]->quotas.OnNeeds(NameOf(i), sent, now_);
        Deliver(to, i, [this, i, to, lent = std::move(loans)] {
          nodes_[i]->quotas.OnLoans(NameOf(to), lent, now_);
          Work(i);
        });
        Work(to);
      });
    }
  }
  void Deliver(std::size_t from, std::size_t to, std::function<void()> event) {
    ++messages_;
    if (side_[from] != side_[to]) {
      return;
    }
    At(now_ + kLinkDelay,
       [event = std::move(event), at_from = std::weak_ptr<Node>(nodes_[from]),
        at_to = std::weak_ptr<Node>(nodes_[to])] {
         if (!at_from.expired() && !at_to.expired()) {
           event();
         }
       });
  }

  QuotaLimits limits_;
  Group group_;
  std::vector<std::shared_ptr<Node>> nodes_;
  std::vector<int> side_;
  Time now_ = Time(100 * kQuotaSecond);
  Time refusing_until_;
  std::multimap<Time, std::function<void()>> events_;
  std::mt19937_64 random_{7};
  std::vector<Time> admitted_;
  std::size_t refused_ = 0;
  std::size_t messages_ = 0;
  Duration last_retry_after_{0};
  Duration longest_retry_after_{0};
  Duration longest_wait_{0};
};

}  // namespace verbenastile

#endif  // TESTS_QUOTA_FLEET_H_
