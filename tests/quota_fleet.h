// Nodes that share the quota of one group, with links between them that take
// time, break and are cut. Callers arrive at random times.
#ifndef TESTS_QUOTA_FLEET_H_
#define TESTS_QUOTA_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "core/group_quotas.h"
#include "core/join_requests.h"

namespace verbenastile {

constexpr Duration kQuotaSecond = std::chrono::seconds(1);

class QuotaFleet {
 public:
  QuotaFleet(std::size_t nodes,
             double rate,
             QuotaLimits limits = {},
             std::uint64_t seed = 7,
             std::size_t unlinked = 0)
      : limits_(limits), nodes_(nodes), side_(nodes, 0), random_(seed) {
    group_.name = "tenant";
    group_.requests = {rate, rate};
    // These have no links to others for as long as the fleet runs.
    for (std::size_t i = 0; i < unlinked; ++i) {
      for (std::size_t j = 0; j < nodes; ++j) {
        cut_links_.insert({i, j});
        cut_links_.insert({j, i});
      }
    }
    for (std::size_t i = 0; i < nodes; ++i) {
      Start(i);
    }
    UpdateMembers();
    Run(10 * kQuotaSecond);
  }

  // A node joins. Returns its index.
  std::size_t Join() {
    nodes_.emplace_back();
    side_.push_back(0);
    Start(nodes_.size() - 1);
    At(now_ + kLinkDelay, [this] { UpdateMembers(); });
    return nodes_.size() - 1;
  }
  // The node ends as planned, and its record is removed.
  void Leave(std::size_t i) {
    store_.erase(NameOf(i));
    left_.insert(i);
    ForEach([&](Node& node) {
      if (HasLink(i, node.index) || HasLink(node.index, i)) {
        node.known.erase(NameOf(i));
      }
    });
    End(i);
    UpdateMembers();
  }
  // The store does not serve the node for `period`.
  void TurnAway(std::size_t i, Duration period) {
    turned_away_until_[i] = std::max(turned_away_until_[i], now_ + period);
  }
  std::size_t size() const { return nodes_.size(); }

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
      End(i);
    }
    UpdateMembers();
    At(now_ + pause, [this, first, last] {
      for (std::size_t i = first; i < last; ++i) {
        if (!left_.contains(i)) {
          Start(i);
        }
      }
      UpdateMembers();
    });
  }
  bool IsUp(std::size_t i) const { return nodes_[i] != nullptr; }
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
          if (nodes_[i] && !HasLink(i, j)) {
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
  // The link that node `from` opens to node `to` breaks, which both notice at
  // once if they are `told` and within `kNotice` otherwise, and is open again
  // after `period`.
  void CutLink(std::size_t from, std::size_t to, Duration period, bool told) {
    cut_links_.insert({from, to});
    At(told ? now_ : now_ + kNotice, [this, from, to, told] {
      if (nodes_[from]) {
        nodes_[from]->quotas.OnMemberLost(NameOf(to), !told, now_);
      }
      UpdateMembers();
    });
    At(now_ + period, [this, from, to] {
      const auto found = cut_links_.find({from, to});
      if (found != cut_links_.end()) {
        cut_links_.erase(found);
      }
      UpdateMembers();
    });
  }
  // Messages sent from now on take up to `delay`, and keep their order on a
  // link.
  void SetMaxLinkDelay(Duration delay) { max_link_delay_ = delay; }
  // The instances refuse all requests for `period`.
  void RefuseAtInstances(Duration period) { refusing_until_ = now_ + period; }
  // The same for the requests that come to one node.
  void RefuseAtInstanceOf(std::size_t i, Duration period) {
    node_refusing_until_[i] = now_ + period;
  }
  void SetQuota(double rate) { SetQuotaBut(nodes_.size(), rate); }
  // A new configuration limits the group to `rate`; 0: it has no such group. Of
  // the nodes, `behind` keeps the configuration that it has.
  void SetQuotaBut(std::size_t behind, double rate) {
    SetLimitBut(behind, {rate, rate});
  }
  void SetLimitBut(std::size_t behind, const RequestQuota& limit) {
    group_.requests = limit;
    ++generation_;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i] && i != behind) {
        Configure(*nodes_[i]);
      }
    }
  }
  // The indices of the nodes, each of which coordinates the group when those
  // before it are away.
  std::vector<std::size_t> CoordinatorOrder() const {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      names.push_back(NameOf(i));
    }
    std::vector<std::size_t> order;
    while (!names.empty()) {
      QuotaPeers peers("");
      peers.SetGroups({group_.name}, now_);
      peers.SetCandidates(names, now_);
      const std::string first(peers.CoordinatorOf(group_.name));
      order.push_back(IndexOf(first));
      std::erase(names, first);
    }
    return order;
  }
  // The index of the node that coordinates the group.
  std::size_t Coordinator() const { return CoordinatorOrder().front(); }

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
  // The fractions of the quota that nodes may lend now, in all.
  double TotalReach() const {
    double total = 0;
    for (const auto& node : nodes_) {
      total += node ? node->quotas.ReachOf(group_.name, now_) : 0;
    }
    return total;
  }
  std::size_t admitted() const { return admitted_.size(); }
  std::size_t refused() const { return refused_; }
  Duration longest_wait() const { return longest_wait_; }
  std::size_t messages() const { return messages_; }
  // Records that nodes told each other, beside those of the handshakes.
  std::size_t announcements() const { return announcements_; }
  Duration last_retry_after() const { return last_retry_after_; }
  Duration longest_retry_after() const { return longest_retry_after_; }
  Time now() const { return now_; }

 private:
  static constexpr Duration kLinkDelay = std::chrono::milliseconds(1);
  static constexpr Duration kRefusalTime = std::chrono::milliseconds(2);
  static constexpr Duration kTick = std::chrono::milliseconds(100);
  // A link that does not answer is noticed within this time.
  static constexpr Duration kNotice = std::chrono::milliseconds(2'700);
  // Nodes that start within this time of each other start at once.
  static constexpr Duration kSameStart = std::chrono::seconds(1);
  static constexpr Duration kMaxListInterval = std::chrono::seconds(8);
  static constexpr Duration kMembersRequestInterval =
      std::chrono::milliseconds(500);

  // What members say of themselves.
  struct Record {
    bool joins = false;  // The owners of parts.
    bool owned = false;  // Parts, then or in an earlier process.
    std::uint64_t version = 0;
    // In the store only; see core/join_requests.h.
    std::uint64_t incarnation = 0;
    std::map<std::string, std::uint64_t, std::less<>> asked_since;
    RecordVersions confirmed;
  };
  struct Node {
    Node(std::size_t at,
         std::string name,
         const QuotaLimits& limits,
         Time start)
        : index(at),
          quotas(name, limits, start),
          started(start),
          join_requests(name) {
      standing.is_stored = false;
      known[name] = {};
    }
    std::size_t index;
    GroupQuotas quotas;
    std::vector<Time> waiting;
    Time started;
    std::map<std::string, Record> known;  // The members that it has heard of.
    Record record;                        // Its own, as it announced it.
    // Whether the store has its record since it joins the owners.
    bool has_written_joining = false;
    std::set<std::string, std::less<>> confirmed_by;
    JoinRequests join_requests;
    std::map<std::string, std::uint64_t, std::less<>> asked_since;
    // The members that confirmed through the store, and which record.
    RecordVersions counted_by;
    std::set<std::string, std::less<>> linked_both_ways;
    QuotaMembers members;  // As far as they depend on the links.
    QuotaStanding standing;
    bool asked_for_members = false;
    Time list_at;
  };

  static std::string NameOf(std::size_t i) { return "n" + std::to_string(i); }
  static std::size_t IndexOf(std::string_view name) {
    return std::stoul(std::string(name.substr(1)));
  }
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
    nodes_[i] = std::make_shared<Node>(i, NameOf(i), limits_, now_);
    ListMembers(*nodes_[i]);
    Configure(*nodes_[i]);
    Tick(i, nodes_[i]);
  }
  void Configure(Node& node) {
    const std::size_t groups = group_.requests.per_second > 0 ? 1 : 0;
    node.quotas.SetGroups({&group_, groups}, generation_, now_);
  }
  void SetSide(std::size_t first, std::size_t last, int side) {
    std::fill(side_.begin() + static_cast<std::ptrdiff_t>(first),
              side_.begin() + static_cast<std::ptrdiff_t>(last), side);
  }
  void End(std::size_t i) {
    refused_ += nodes_[i]->waiting.size();
    nodes_[i].reset();
    ForEach(
        [&](Node& node) { node.quotas.OnMemberLost(NameOf(i), false, now_); });
  }
  void Tick(std::size_t i, const std::weak_ptr<Node>& weak) {
    if (const auto node = weak.lock()) {
      node->quotas.Tick(now_);
      Announce(*node);
      const bool joins = node->record.joins && !node->standing.is_listed;
      const bool is_new = !std::exchange(node->standing.is_stored, true);
      if (now_ >= node->list_at || joins || is_new ||
          !node->standing.knows_owners) {
        ListMembers(*node);
        SetMembers(*node);
      }
      Work(i);
      At(now_ + kTick, [this, i, weak] { Tick(i, weak); });
    }
  }
  bool AreLinked(std::size_t i, std::size_t j) const {
    return nodes_[i] && nodes_[j] && (HasLink(i, j) || HasLink(j, i));
  }
  // Tells linked nodes that the node joins the owners, or is one. Those that
  // hear it confirm it.
  void Announce(Node& node) {
    UpdateAsked(node);
    const bool joins = node.quotas.joins_owners();
    const bool owns = node.quotas.may_own_parts();
    if (joins == node.record.joins && owns == node.record.owned) {
      return;
    }
    if (!joins) {
      node.confirmed_by.clear();
      node.has_written_joining = false;
      node.standing.is_listed = false;
    }
    node.record.joins = joins;
    node.record.owned = owns;
    node.record.version = ++last_version_;
    ForEach([&](Node& other) {
      if (&other != &node && AreLinked(node.index, other.index)) {
        Tell(node.index, other.index);
      }
    });
  }
  void UpdateAsked(Node& node) {
    const QuotaOwners::Names& asked = node.quotas.asked_members();
    bool changed = std::erase_if(node.asked_since, [&](const auto& known) {
                     return !asked.contains(known.first);
                   }) > 0;
    for (const std::string& member : asked) {
      changed =
          node.asked_since.try_emplace(member, last_version_ + 1).second ||
          changed;
    }
    if (changed) {
      node.record.version = ++last_version_;
      WriteRecord(node);
    }
  }
  // Writes what is asked and confirmed through the store, if it serves the
  // node.
  void WriteRecord(Node& node) {
    if (now_ < turned_away_until_[node.index]) {
      return;
    }
    const bool owned = store_[NameOf(node.index)].owned;
    Record& stored = store_[NameOf(node.index)] = node.record;
    stored.owned = owned || node.record.owned || node.standing.was_owner;
    stored.version = ++last_version_;
    stored.incarnation =
        static_cast<std::uint64_t>(node.started.time_since_epoch().count());
    stored.asked_since = node.asked_since;
    stored.confirmed = node.join_requests.Confirmed();
  }
  // Reads what another member asks and confirms.
  void ReadRequests(Node& node, const std::string& member, const Record& said) {
    MemberRecord record;
    record.member.name = member;
    record.member.incarnation = said.incarnation;
    record.sequence = said.version;
    record.asked_since = said.asked_since;
    const bool accepts =
        !node.quotas.joins_owners() || node.quotas.may_own_parts();
    node.join_requests.OnRecord(record, accepts, now_);
    const auto confirmed = said.confirmed.find(NameOf(node.index));
    if (confirmed != said.confirmed.end() &&
        confirmed->second.incarnation ==
            static_cast<std::uint64_t>(
                node.started.time_since_epoch().count())) {
      RecordVersion& counted = node.counted_by[member];
      counted = std::max(
          counted, RecordVersion{said.incarnation, confirmed->second.sequence});
    }
  }
  void Tell(std::size_t i, std::size_t j) {
    const std::size_t opener = HasLink(i, j) ? i : j;
    ++announcements_;
    Carry(opener, i, j, [this, i, j, opener, said = nodes_[i]->record] {
      Hear(*nodes_[j], NameOf(i), said);
      SetMembers(*nodes_[j]);
      Carry(opener, j, i, [this, i, j, version = said.version] {
        Node& node = *nodes_[i];
        if (node.record.joins && version >= node.record.version) {
          node.confirmed_by.insert(NameOf(j));
          SetMembers(node);
        }
      });
    });
  }
  // What nodes tell each other when they are linked.
  void HearMembers(Node& node) {
    ForEach([&](Node& other) {
      if (&other != &node && AreLinked(node.index, other.index)) {
        Hear(node, NameOf(other.index), other.record);
        if (other.record.joins) {
          other.confirmed_by.insert(NameOf(node.index));
        }
      }
    });
  }
  // What a node writes to the store and reads there, at some interval, or hears
  // from a peer if the store does not serve it.
  void ListMembers(Node& node) {
    if (now_ < turned_away_until_[node.index]) {
      if (!node.standing.knows_owners) {
        AskForMembers(node);
      }
      return;
    }
    const Record& stored = store_[NameOf(node.index)];
    if (!node.standing.knows_owners && stored.owned) {
      node.standing.was_owner = true;
    }
    node.standing.is_listed =
        node.record.joins &&
        std::exchange(node.has_written_joining, node.record.joins);
    WriteRecord(node);
    for (const auto& [member, record] : store_) {
      Hear(node, member, record);
      const bool may_concern_node =
          !record.asked_since.empty() || !record.confirmed.empty() ||
          node.join_requests.members().contains(member);
      if (member != NameOf(node.index) && may_concern_node) {
        ReadRequests(node, member, record);
      }
    }
    node.join_requests.OnListed(now_);
    WriteRecord(node);
    std::erase_if(node.known, [&](const auto& known) {
      return !store_.contains(known.first) &&
             !AreLinked(node.index, IndexOf(known.first));
    });
    node.standing.knows_owners = true;
    std::uniform_int_distribution<std::int64_t> interval(
        kTick.count(), kMaxListInterval.count());
    node.list_at = now_ + Duration(interval(delays_));
  }
  static void Hear(Node& node, const std::string& member, const Record& said) {
    Record& known = node.known[member];
    known.owned = known.owned || said.owned;
    if (said.version >= known.version) {
      known.joins = said.joins;
      known.version = said.version;
      known.incarnation = std::max(known.incarnation, said.incarnation);
    }
  }
  // What the node tells one that starts.
  static std::map<std::string, Record> KnownAt(const Node& node) {
    std::map<std::string, Record> known = node.known;
    for (const std::string& member : node.join_requests.members()) {
      known[member].joins = true;
    }
    return known;
  }
  void AskForMembers(Node& node) {
    if (std::exchange(node.asked_for_members, true)) {
      return;
    }
    ForEach([&](Node& other) {
      if (&other == &node || !HasLink(node.index, other.index) ||
          !other.quotas.may_own_parts()) {
        return;
      }
      Carry(node.index, other.index, node.index,
            [this, at = node.index, members = KnownAt(other)] {
              Node& asked = *nodes_[at];
              for (const auto& [member, record] : members) {
                Hear(asked, member, record);
              }
              const auto own = members.find(NameOf(at));
              asked.standing.was_owner =
                  asked.standing.was_owner ||
                  (own != members.end() && own->second.owned);
              asked.standing.knows_owners = true;
              SetMembers(asked);
            });
    });
    At(now_ + kMembersRequestInterval,
       [weak = std::weak_ptr<Node>(nodes_[node.index])] {
         if (const auto asking = weak.lock()) {
           asking->asked_for_members = false;
         }
       });
  }
  void UpdateMembers() {
    ForEach([&](Node& node) { HearMembers(node); });
    ForEach([&](Node& node) {
      NoticeLinks(node);
      SetMembers(node);
      Work(node.index);
    });
  }
  // The node notices which links there are.
  void NoticeLinks(Node& node) {
    const std::size_t i = node.index;
    QuotaMembers& members = node.members;
    members = {};
    node.linked_both_ways.clear();
    members.all_new = true;
    for (std::size_t j = 0; j < nodes_.size(); ++j) {
      if (!nodes_[j] || !HasLink(i, j)) {
        continue;
      }
      members.candidates.push_back(NameOf(j));
      members.linked += HasLink(j, i) ? 1 : 0;
      if (HasLink(j, i)) {
        node.linked_both_ways.insert(NameOf(j));
      }
      members.reachable.insert(NameOf(j));
      members.all_new =
          members.all_new && nodes_[j]->started + kSameStart >= node.started;
    }
  }
  void SetMembers(Node& node) {
    QuotaMembers members = node.members;
    members.known = node.known.size();
    for (const auto& [name, record] : node.known) {
      if (name != NameOf(node.index) && (record.joins || record.owned)) {
        members.owners.insert(name);
      }
      if (2 * members.linked <= members.known &&
          !node.linked_both_ways.contains(name)) {
        members.unlinked_majority.insert(name);
      }
    }
    members.owners.merge(node.join_requests.members());
    members.all_new = members.all_new && 2 * members.linked > members.known;
    members.confirmed_by = node.confirmed_by;
    for (const auto& [member, since] : node.asked_since) {
      const auto counted = node.counted_by.find(member);
      const auto known = node.known.find(member);
      if (counted != node.counted_by.end() &&
          counted->second.sequence >= since && known != node.known.end() &&
          known->second.incarnation == counted->second.incarnation) {
        members.confirmed_by.insert(member);
      }
    }
    node.quotas.SetStanding(node.standing);
    node.quotas.SetMembers(std::move(members), now_);
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
    const auto refuses = node_refusing_until_.find(i);
    const bool is_refused =
        now_ < refusing_until_ ||
        (refuses != node_refusing_until_.end() && now_ < refuses->second);
    if (verdict.decision == QuotaDecision::kAdmit && is_refused) {
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
    SendPartMessages(i);
    for (auto& [name, needs] : node.quotas.TakeNeeds(now_)) {
      const std::size_t to = IndexOf(name);
      Deliver(i, i, to, [this, i, to, sent = std::move(needs)] {
        nodes_[to]->quotas.LearnLimits(sent, now_);
        auto loans = nodes_[to]->quotas.OnNeeds(NameOf(i), sent, now_);
        Deliver(i, to, i, [this, i, to, lent = std::move(loans)] {
          nodes_[i]->quotas.OnLoans(NameOf(to), lent, now_);
          Work(i);
        });
        Work(to);
      });
    }
  }
  void SendPartMessages(std::size_t i) {
    for (const std::string& name : nodes_[i]->quotas.TakePartsChanged(now_)) {
      const std::size_t to = IndexOf(name);
      Deliver(i, i, to, [this, i, to] {
        nodes_[to]->quotas.OnPartChanged(NameOf(i));
        Work(to);
      });
    }
    for (const auto& [name, request] :
         nodes_[i]->quotas.TakePartRequests(now_)) {
      const std::size_t to = IndexOf(name);
      if (!nodes_[to]) {
        nodes_[i]->quotas.OnPartRequestNotSent(name);
        continue;
      }
      Deliver(i, i, to, [this, i, to, sent = request] {
        Deliver(
            i, to, i,
            [this, i, to,
             grant = nodes_[to]->quotas.OnPartRequest(NameOf(i), sent, now_)] {
              nodes_[i]->quotas.OnPartGrant(NameOf(to), grant, now_);
              Work(i);
            });
        Work(to);
      });
    }
  }
  // Whether the link that node `from` opens to node `to` is open.
  bool HasLink(std::size_t from, std::size_t to) const {
    return side_[from] == side_[to] && !cut_links_.contains({from, to});
  }
  // A message of the quotas.
  void Deliver(std::size_t opener,
               std::size_t from,
               std::size_t to,
               std::function<void()> event) {
    ++messages_;
    Carry(opener, from, to, std::move(event));
  }
  // On the link that node `opener` opened.
  void Carry(std::size_t opener,
             std::size_t from,
             std::size_t to,
             std::function<void()> event) {
    if (!HasLink(opener, opener == from ? to : from)) {
      return;
    }
    Time& last = last_delivery_[{opener, from, to}];
    std::uniform_int_distribution<std::int64_t> delay(
        kLinkDelay.count(), std::max(kLinkDelay, max_link_delay_).count());
    last = std::max(last, now_ + Duration(delay(delays_)));
    At(last,
       [event = std::move(event), at_from = std::weak_ptr<Node>(nodes_[from]),
        at_to = std::weak_ptr<Node>(nodes_[to])] {
         if (!at_from.expired() && !at_to.expired()) {
           event();
         }
       });
  }

  QuotaLimits limits_;
  Group group_;
  std::uint64_t generation_ = 1;  // Of the newest configuration.
  std::vector<std::shared_ptr<Node>> nodes_;
  std::vector<int> side_;
  std::map<std::string, Record> store_;
  std::uint64_t last_version_ = 0;
  std::map<std::size_t, Time> turned_away_until_;
  std::set<std::size_t> left_;
  // By the nodes that open and accept the link; once for each cut.
  std::multiset<std::pair<std::size_t, std::size_t>> cut_links_;
  Time now_ = Time(100 * kQuotaSecond);
  Time refusing_until_;
  std::map<std::size_t, Time> node_refusing_until_;
  Duration max_link_delay_ = kLinkDelay;
  // By the opener, sender and receiver.
  std::map<std::tuple<std::size_t, std::size_t, std::size_t>, Time>
      last_delivery_;
  std::mt19937_64 delays_{11};
  std::multimap<Time, std::function<void()>> events_;
  std::mt19937_64 random_;
  std::vector<Time> admitted_;
  std::size_t refused_ = 0;
  std::size_t messages_ = 0;
  std::size_t announcements_ = 0;
  Duration last_retry_after_{0};
  Duration longest_retry_after_{0};
  Duration longest_wait_{0};
};

}  // namespace verbenastile

#endif  // TESTS_QUOTA_FLEET_H_
