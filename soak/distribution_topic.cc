// Topic "distribution": a fleet of real distributions and appliers over fake
// peers, platform and time. Rounds of faults are followed by quiet, in which
// all live nodes have to converge.
#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <memory>

#include "core/distribution.h"
#include "core/operations.h"
#include "fake_store.h"
#include "fake_time.h"
#include "soak.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDomains = 3;
constexpr std::size_t kNodes = 24;
constexpr std::size_t kOperators = 2;
constexpr std::uint64_t kMaxRulesKept = 6;

constexpr Duration kFaultTime = seconds(25);
// How soon a paused node goes on at the latest when its pause is cut short.
constexpr Duration kPauseCheck = milliseconds(200);
// After faults end: membership heals, waits run out.
constexpr Duration kHealTime = seconds(12);
// The brief's "within seconds": all live nodes run an accepted change.
constexpr Duration kConvergenceBound = seconds(18);
// Nodes that had to follow the platform for a while stop doing so.
constexpr Duration kSettleTime = seconds(8);
constexpr Duration kAuditTime = seconds(5);
// Calls on the store in the quiet audit: each reader reads a change's content
// in at most this many calls.
constexpr std::uint64_t kCallsPerFetch = 2;
// The target is 200 calls in any second for 200 nodes that restart at once.
constexpr std::uint64_t kCallsPerNodeAndSecond = 1;
constexpr Duration kChangeReadTime = seconds(2);

struct FakeNode {
  Member member;
  bool alive = false;
  std::uint64_t life = 0;  // Events of an earlier life do nothing.
  Time paused_until;
  MemberDirectory directory;
  std::unique_ptr<ConfigApplier> applier;
  std::unique_ptr<Distribution> distribution;
  bool following = false;
  bool watching = false;
  std::uint64_t follow_number = 0;
  Version told;  // The head that it heard last.
  Generation highest = 0;
  Time woken_for;
};

struct FakeOperator {
  std::uint64_t read_version = 0;
  RuleDocument read_document;
  std::string operation;
  std::optional<Operation> change;
};

class DistributionRun {
 public:
  explicit DistributionRun(const SoakOptions& options)
      : options_(options), random_(options.seed) {}

  SoakReport Run() {
    return leaf::try_handle_all(
        [&]() -> leaf::result<SoakReport> {
          BOOST_LEAF_ASSIGN(chart_, LoadEmbeddedChart("config_apply"));
          RunRounds();
          return report_;
        },
        [&] {
          SoakReport report;
          report.violations = {"the chart cannot be loaded"};
          return report;
        });
  }

 private:
  // Rounds.

  void RunRounds() {
    MakeNodes();
    MakeOperators();
    while (report_.steps < options_.steps) {
      Faults();
      Heal();
      CheckConvergence();
      CheckQuiet();
      CheckRestartBesideOldStore();
    }
    report_.digest = digest_.digest();
  }

  void RunFor(Duration time) {
    bool over = false;
    events_.After(time, [&over] { over = true; });
    while (!over && report_.steps < options_.steps) {
      events_.RunNext();
      ++report_.steps;
    }
  }

  // Runs on until all nodes run what the store holds, up to the bound.
  void RunUntilConverged() {
    const Time end = events_.now() + kConvergenceBound;
    while (!Converged() && events_.now() < end && !Ended()) {
      RunFor(milliseconds(100));
    }
  }

  bool Converged() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const FakeNode& node) {
      const SnapshotPointer in_force = node.applier->snapshot();
      return in_force && VersionOf(*in_force) == store_.version();
    });
  }

  bool Ended() const { return report_.steps >= options_.steps; }

  void Faults() {
    faulty_ = true;
    const Time end = events_.now() + kFaultTime;
    while (events_.now() < end && !Ended()) {
      RandomFault();
      RunFor(UpTo(seconds(4)));
    }
  }

  void Heal() {
    faulty_ = false;
    store_.up = true;
    store_.loses_answers = false;
    slow_store_ = false;
    partitioned_domain_ = kDomains;
    for (std::size_t index = 0; index < kNodes; ++index) {
      nodes_[index].paused_until = events_.now();
      StartNode(index);
    }
    RunFor(kHealTime);
  }

  // The operators' remedy after a backup was restored: changes until the
  // store is above all that runs.
  void CheckConvergence() {
    const Generation highest = HighestInForce();
    do {
      AcceptNow(GoodDocument());
    } while (store_.generation() <= highest);
    RunUntilConverged();
    if (Ended()) {
      return;
    }
    for (const FakeNode& node : nodes_) {
      Require(node.applier->snapshot() &&
                  VersionOf(*node.applier->snapshot()) == store_.version(),
              fmt::format("converges_within_bound: {} runs {} not {}",
                          node.member.name, node.applier->generation(),
                          store_.generation()));
    }
  }

  // Nothing but one change happens: few readers, few calls.
  void CheckQuiet() {
    RunFor(kSettleTime);
    store_calls_ = 0;
    status_writes_ = 0;
    AcceptNow(GoodDocument());
    RunFor(kAuditTime);
    if (Ended()) {
      return;
    }
    const auto readers =
        std::count_if(nodes_.begin(), nodes_.end(),
                      [](const FakeNode& node) { return node.following; });
    const std::uint64_t allowed = kDomains * kReadersPerDomain;
    Require(static_cast<std::uint64_t>(readers) <= allowed,
            fmt::format("few_readers: {}", readers));
    Require(store_calls_ <= allowed * kCallsPerFetch,
            fmt::format("store_calls_bounded: {}", store_calls_));
    const std::uint64_t seconds_passed = kAuditTime / seconds(1);
    Require(status_writes_ <= kDomains * (seconds_passed + 1),
            fmt::format("status_writes_bounded: {}", status_writes_));
  }

  // A reader that restarts takes what its peers run, not what a restored
  // store holds.
  void CheckRestartBesideOldStore() {
    if (Ended()) {
      return;
    }
    const Version newest = store_.version();
    store_.Save();
    AcceptNow(GoodDocument());
    RunUntilConverged();
    const Version running = store_.version();
    store_.Restore();
    EndWatches();
    const std::size_t index = AnyReader();
    StopNode(index);
    RunFor(seconds(1));
    StartNode(index);
    const Time end = events_.now() + kConvergenceBound;
    while (nodes_[index].applier->generation() == 0 && events_.now() < end &&
           !Ended()) {
      RunFor(milliseconds(50));
    }
    if (!Ended()) {
      const Generation taken = nodes_[index].applier->generation();
      Require(taken >= running.generation,
              fmt::format("restart_takes_what_peers_run: {} not {}, store {}",
                          taken, running.generation, newest.generation));
    }
  }

  // Faults.

  void RandomFault() {
    switch (random_.Below(10)) {
      case 0:
        KillHerd();
        break;
      case 1:
      case 2:
        StartAll();
        break;
      case 3:
        store_.up = !store_.up;
        EndWatches();
        break;
      case 4:
        slow_store_ = !slow_store_;
        break;
      case 5:
        PauseSome();
        break;
      case 6:
        store_.loses_answers = !store_.loses_answers;
        break;
      case 7:
        partitioned_domain_ = random_.Below(kDomains + 1);
        break;
      case 8:
        BackUpOrRestore();
        break;
      default:
        store_.up = true;
        break;
    }
  }

  void KillHerd() {
    const std::uint64_t one_in = 1 + random_.Below(4);
    const std::size_t domain = random_.Below(kDomains + 1);
    for (std::size_t index = 0; index < kNodes; ++index) {
      const bool in_reach = domain == kDomains || index % kDomains == domain;
      if (in_reach && random_.OneIn(one_in)) {
        StopNode(index);
        events_.After(UpTo(seconds(10)), [this, index] { StartNode(index); });
      }
    }
  }

  void StartAll() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      StartNode(index);
    }
  }

  void PauseSome() {
    for (FakeNode& node : nodes_) {
      if (random_.OneIn(6)) {
        node.paused_until = events_.now() + UpTo(seconds(60));
      }
    }
  }

  void BackUpOrRestore() {
    if (random_.OneIn(3)) {
      store_.Restore();
      EndWatches();
    } else {
      store_.Save();
    }
  }

  // Nodes.

  void MakeNodes() {
    nodes_.resize(kNodes);
    for (std::size_t index = 0; index < kNodes; ++index) {
      Member& member = nodes_[index].member;
      member.name = fmt::format("node-{}", index);
      member.failure_domain = fmt::format("domain-{}", index % kDomains);
      member.service = "booking";
      member.control_address = {fmt::format("10.0.0.{}", index + 1), 7000};
      by_address_[member.control_address.ip] = index;
    }
    for (std::size_t index = 0; index < kNodes; ++index) {
      StartNode(index);
    }
  }

  DistributionInit InitOf() {
    DistributionInit init;
    init.seed = random_.Below(1'000'000'000);
    init.node_rate = {1'024, 4'096};
    init.peer_rate = {512, 2'048};
    init.max_history_generations = 4;
    init.max_history_bytes = 8'192;
    init.seams.skip_digest_check = options_.mutation == "skip_digest_check";
    init.seams.ignore_budget = options_.mutation == "ignore_budget";
    init.seams.everyone_reads = options_.mutation == "everyone_reads";
    init.seams.no_exchange = options_.mutation == "no_exchange";
    init.seams.write_each_report = options_.mutation == "write_each_report";
    init.seams.keep_all_history = options_.mutation == "keep_all_history";
    if (options_.mutation == "trust_the_store") {
      init.start.platform_alone = Duration::zero();
      init.reader.settle = Duration::zero();
      init.reader.alone_settle = Duration::zero();
      init.reader.alone_spread = Duration::zero();
      init.reader.alone_fetch_spread = Duration::zero();
      init.reader.outage_fetch_spread = Duration::zero();
      init.reader.least_spread = Duration::zero();
      init.reader.spread_per_node = Duration::zero();
    }
    return init;
  }

  void StartNode(std::size_t index) {
    FakeNode& node = nodes_[index];
    if (node.alive) {
      return;
    }
    node.alive = true;
    ++node.life;
    ++node.member.incarnation;
    node.paused_until = events_.now();
    node.following = false;
    node.watching = false;
    node.highest = 0;
    node.woken_for = {};
    node.directory = MemberDirectory();
    node.applier = std::make_unique<ConfigApplier>(&chart_);
    node.distribution = std::make_unique<Distribution>(
        InitOf(), node.member, &node.directory, node.applier.get());
    node.distribution->Start(events_.now());
    After(index, milliseconds(100) + UpTo(seconds(1)),
          [this, index] { FillDirectory(index); });
    TellMembers(index, MemberState::kAlive, seconds(2));
    RunActions(index);
  }

  void StopNode(std::size_t index) {
    FakeNode& node = nodes_[index];
    if (!node.alive) {
      return;
    }
    node.alive = false;
    ++node.life;
    node.following = false;
    node.watching = false;
    TellMembers(index, MemberState::kDead, seconds(5));
  }

  // The membership of a fleet that lives beside this one: rosters by the
  // store, or by a peer that was heard.
  void FillDirectory(std::size_t index) {
    FakeNode& node = nodes_[index];
    if (!store_.up && node.applier->generation() == 0) {
      After(index, seconds(1), [this, index] { FillDirectory(index); });
      return;
    }
    for (const FakeNode& other : nodes_) {
      if (other.alive) {
        node.directory.Put(other.member);
      }
    }
  }

  // All others hear of the node's state, each in its own time.
  void TellMembers(std::size_t index, MemberState state, Duration longest) {
    Member member = nodes_[index].member;
    member.state = state;
    for (std::size_t other = 0; other < kNodes; ++other) {
      if (other != index && nodes_[other].alive) {
        After(other, UpTo(longest), [this, other, member] {
          MemberDirectory& directory = nodes_[other].directory;
          const Member* known = directory.Find(member.name);
          if (known == nullptr || known->incarnation <= member.incarnation) {
            directory.Put(member);
          }
        });
      }
    }
  }

  // Runs `event` at the node, unless it ends before; later when it is paused.
  void After(std::size_t index, Duration wait, EventQueue::Event event) {
    const std::uint64_t life = nodes_[index].life;
    events_.After(wait, [this, index, life, event = std::move(event)] {
      FakeNode& node = nodes_[index];
      if (node.life != life) {
        return;
      }
      if (node.paused_until > events_.now()) {
        const Duration left = node.paused_until - events_.now();
        After(index, std::min<Duration>(left, kPauseCheck) + UpTo(kPauseCheck),
              event);
        return;
      }
      event();
    });
  }

  void Wake(std::size_t index) {
    FakeNode& node = nodes_[index];
    const Time next = std::max(node.distribution->next_time(), events_.now());
    if (node.woken_for > events_.now() && node.woken_for <= next) {
      return;
    }
    node.woken_for = next;
    After(index, next - events_.now(), [this, index] {
      nodes_[index].woken_for = {};
      nodes_[index].distribution->OnTime(events_.now());
      RunActions(index);
    });
  }

  // Actions.

  struct ActionRunner {
    DistributionRun& run;
    std::size_t index;

    void operator()(SendAction& action) const {
      run.Deliver(index, action.to, std::move(action.message));
    }
    void operator()(const CloseAction&) const {}
    void operator()(const FollowAction& action) const {
      run.Follow(index, action.follow);
    }
    void operator()(const FetchAction&) const { run.Fetch(index); }
    void operator()(const OfferedAction& action) const {
      run.OnOffered(index, action);
    }
    void operator()(const WriteStatusAction&) const { run.WriteStatus(index); }
  };

  void RunActions(std::size_t index) {
    FakeNode& node = nodes_[index];
    const Generation in_force = node.applier->generation();
    Require(in_force >= node.highest, "generation_never_falls");
    node.highest = std::max(node.highest, in_force);
    Distribution& distribution = *node.distribution;
    auto actions = distribution.TakeActions();
    while (!actions.empty()) {
      for (DistributionAction& action : actions) {
        std::visit(ActionRunner{*this, index}, action);
      }
      actions = distribution.TakeActions();
    }
    Wake(index);
  }

  void OnOffered(std::size_t index, const OfferedAction& action) {
    FakeNode& node = nodes_[index];
    digest_.Add(index);
    digest_.Add(action.offered.generation);
    digest_.Add(static_cast<std::uint64_t>(action.outcome));
    digest_.Add(
        static_cast<std::uint64_t>(events_.now().time_since_epoch().count()));
    if (const SnapshotPointer in_force = node.applier->snapshot()) {
      Require(store_.Accepted(VersionOf(*in_force)), "content_was_accepted");
    }
  }

  // Messages.

  bool Cut(std::size_t from, std::size_t to) const {
    const bool from_inside = from % kDomains == partitioned_domain_;
    const bool to_inside = to % kDomains == partitioned_domain_;
    return from_inside != to_inside;
  }

  void Deliver(std::size_t from,
               const SocketAddress& to,
               DistributionMessage message) {
    const auto found = by_address_.find(to.ip);
    const std::size_t target = found->second;
    if (!nodes_[target].alive || Cut(from, target)) {
      After(from, UpTo(seconds(1)), [this, from, to] {
        nodes_[from].distribution->OnPeerFailed(events_.now(), to);
        RunActions(from);
      });
      return;
    }
    if (faulty_ && random_.OneIn(50)) {
      return;
    }
    if (faulty_ && random_.OneIn(20)) {
      Damage(message);
    }
    const auto shared =
        std::make_shared<const DistributionMessage>(std::move(message));
    const int copies = faulty_ && random_.OneIn(50) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      const Duration late =
          faulty_ && random_.OneIn(40) ? UpTo(seconds(3)) : Duration::zero();
      const Member& sender = nodes_[from].member;
      const PeerIdentity peer{sender.name, sender.failure_domain,
                              sender.control_address};
      After(target, late + milliseconds(1) + UpTo(milliseconds(4)),
            [this, target, peer, shared] {
              MaybeGoBack(target, *shared);
              nodes_[target].distribution->OnMessage(events_.now(), peer,
                                                     *shared);
              RunActions(target);
            });
    }
  }

  // The mutation "accept_older": a delta to an older generation is let in.
  void MaybeGoBack(std::size_t index, const DistributionMessage& message) {
    const auto* delta = std::get_if<Delta>(&message);
    ConfigApplier& applier = *nodes_[index].applier;
    if (options_.mutation != "accept_older" || delta == nullptr ||
        delta->to.generation >= applier.generation()) {
      return;
    }
    if (SnapshotPointer older = store_.Content(delta->to)) {
      applier = ConfigApplier(&chart_);
      applier.Offer(std::move(older));
    }
  }

  // What a wire check would not notice: other items than the digest says.
  void Damage(DistributionMessage& message) {
    if (auto* delta = std::get_if<Delta>(&message)) {
      if (!delta->splices.empty()) {
        Splice& splice = delta->splices[random_.Below(delta->splices.size())];
        splice.items.push_back(MakeItem(
            ItemKind::kGroup, ToCanonicalText(Group{"stranger", 1, {}, {}})));
      }
    } else if (auto* items = std::get_if<ItemsMessage>(&message)) {
      if (!items->items.empty()) {
        items->items.pop_back();
      }
    }
  }

  // The platform.

  Duration StoreTime() {
    return slow_store_ ? UpTo(seconds(2))
                       : milliseconds(1) + UpTo(milliseconds(4));
  }

  void CountCalls(std::uint64_t calls) {
    store_calls_ += calls;
    const auto second = events_.now().time_since_epoch() / seconds(1);
    calls_in_second_ =
        second == counted_second_ ? calls_in_second_ + calls : calls;
    counted_second_ = second;
    const std::uint64_t for_changes =
        ChangesLately() * kDomains * kReadersPerDomain * kCallsPerFetch;
    Require(calls_in_second_ <= kNodes * kCallsPerNodeAndSecond + for_changes,
            fmt::format("store_never_stormed: {} with {} for changes",
                        calls_in_second_, for_changes));
  }

  // Changes whose content may still be read now.
  std::uint64_t ChangesLately() {
    while (!changes_.empty() &&
           events_.now() - changes_.front() > kChangeReadTime) {
      changes_.pop_front();
    }
    return changes_.size();
  }

  void Follow(std::size_t index, bool follow) {
    FakeNode& node = nodes_[index];
    node.following = follow;
    node.watching = false;
    ++node.follow_number;
    if (follow) {
      ListHead(index, node.follow_number);
    }
  }

  void ListHead(std::size_t index, std::uint64_t follow_number) {
    CountCalls(1);
    After(index, StoreTime(), [this, index, follow_number] {
      FakeNode& node = nodes_[index];
      if (node.follow_number != follow_number) {
        return;
      }
      if (!store_.up) {
        After(index, UpTo(seconds(5)), [this, index, follow_number] {
          if (nodes_[index].follow_number == follow_number) {
            ListHead(index, follow_number);
          }
        });
        return;
      }
      node.watching = true;
      TellHead(index, store_.version());
    });
  }

  void TellHead(std::size_t index, const Version& version) {
    nodes_[index].told = version;
    nodes_[index].distribution->OnPlatformHead(events_.now(), version);
    RunActions(index);
  }

  // Watches that end are opened again after a jittered wait.
  void EndWatches() {
    for (std::size_t index = 0; index < kNodes; ++index) {
      FakeNode& node = nodes_[index];
      if (node.alive && node.following) {
        node.watching = false;
        const std::uint64_t number = ++node.follow_number;
        After(index, UpTo(seconds(2)), [this, index, number] {
          if (nodes_[index].follow_number == number) {
            ListHead(index, number);
          }
        });
      }
    }
  }

  void Fetch(std::size_t index) {
    CountCalls(kCallsPerFetch);
    const SnapshotPointer content = store_.Content(nodes_[index].told);
    if (!store_.up || !content) {
      return;
    }
    After(index, StoreTime(), [this, index, content] {
      nodes_[index].distribution->OnPlatformSnapshot(events_.now(), content);
      RunActions(index);
    });
  }

  void WriteStatus(std::size_t index) {
    ++status_writes_;
    const bool written = store_.up && !store_.loses_answers;
    After(index, StoreTime(), [this, index, written] {
      nodes_[index].distribution->OnStatusWritten(events_.now(), written);
    });
  }

  // Operators.

  void MakeOperators() {
    for (std::size_t index = 0; index < kOperators; ++index) {
      events_.After(UpTo(seconds(1)), [this, index] { Operate(index); });
    }
  }

  void Operate(std::size_t index) {
    const Duration pause = milliseconds(50) + UpTo(seconds(2));
    events_.After(pause, [this, index] { Operate(index); });
    if (!faulty_ || !store_.up) {
      return;
    }
    FakeOperator& op = operators_[index];
    if (!op.change) {
      op.operation = fmt::format("operation-{}", ++last_operation_);
      op.change = RandomChange();
    }
    op.read_version = store_.state().resource_version;
    op.read_document = store_.state().document;
    if (store_.state().operations.contains(op.operation)) {
      FinishOperation(op);
      return;
    }
    events_.After(UpTo(milliseconds(200)), [this, index] { Write(index); });
  }

  void Write(std::size_t index) {
    FakeOperator& op = operators_[index];
    if (!op.change) {
      return;
    }
    auto document = leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<RuleDocument>> {
          BOOST_LEAF_AUTO(next, ApplyOperation(op.read_document, *op.change));
          return std::optional<RuleDocument>(std::move(next));
        },
        [] { return std::optional<RuleDocument>(); });
    if (!document) {
      op.change.reset();
      return;
    }
    if (random_.OneIn(12)) {
      SpoilDocument(*document);
    }
    const FakeWrite written =
        store_.Write(op.read_version, *document, op.operation);
    if (written == FakeWrite::kMade) {
      FinishOperation(op);
    }
    TellWatches();
  }

  void FinishOperation(FakeOperator& op) {
    Require(store_.TimesMade(op.operation) <= 1, "operation_made_once");
    store_.ForgetOperation(op.operation);
    op.change.reset();
  }

  // What another tool may write past the checks; nodes have to refuse it.
  static void SpoilDocument(RuleDocument& document) {
    if (!document.rules.empty()) {
      RouteAction route;
      route.targets.push_back({"nowhere", 1});
      document.rules.back().action = route;
    }
  }

  Operation RandomChange() {
    const RuleDocument& document = store_.state().document;
    const auto& rules = document.rules;
    if (document.services.empty() || random_.OneIn(8)) {
      return ReplaceDocument{GoodDocument()};
    }
    if (rules.size() > kMaxRulesKept) {
      return RetireRule{rules[random_.Below(rules.size())].id};
    }
    return AddRule{GoodRule(), {}};
  }

  Rule GoodRule() {
    Rule rule;
    rule.id = fmt::format("rule-{}", ++last_rule_);
    RouteAction route;
    route.targets.push_back({"booking", 1});
    rule.action = route;
    return rule;
  }

  RuleDocument GoodDocument() {
    RuleDocument document;
    document.services.push_back({"booking", {}, {}});
    const std::uint64_t rules = 1 + random_.Below(kMaxRulesKept);
    for (std::uint64_t rule = 0; rule < rules; ++rule) {
      document.rules.push_back(GoodRule());
    }
    return document;
  }

  void AcceptNow(const RuleDocument& document) {
    store_.Write(store_.state().resource_version, document,
                 fmt::format("operation-{}", ++last_operation_));
    TellWatches();
  }

  void TellWatches() {
    const Version version = store_.version();
    changes_.push_back(events_.now());
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (nodes_[index].alive && nodes_[index].watching) {
        const std::uint64_t number = nodes_[index].follow_number;
        After(index, StoreTime(), [this, index, number, version] {
          if (nodes_[index].follow_number == number) {
            TellHead(index, version);
          }
        });
      }
    }
  }

  // Helpers.

  Generation HighestInForce() const {
    Generation highest = 0;
    for (const FakeNode& node : nodes_) {
      highest = std::max(highest, node.applier->generation());
    }
    return highest;
  }

  std::size_t AnyReader() const {
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (nodes_[index].alive && nodes_[index].distribution->place().reader) {
        return index;
      }
    }
    return 0;
  }

  Duration UpTo(Duration longest) {
    return Duration(static_cast<Duration::rep>(
        random_.Below(static_cast<std::uint64_t>(longest.count()) + 1)));
  }

  void Require(bool holds, std::string_view what) {
    if (!holds) {
      report_.violations.emplace_back(
          fmt::format("{} at {} ms", what,
                      ToMilliseconds(events_.now().time_since_epoch())));
    }
  }

  SoakOptions options_;
  SoakRandom random_;
  StateChart chart_;
  EventQueue events_;
  FakeStore store_;
  std::vector<FakeNode> nodes_;
  std::map<std::string, std::size_t> by_address_;
  FakeOperator operators_[kOperators];
  bool faulty_ = false;
  bool slow_store_ = false;
  std::size_t partitioned_domain_ = kDomains;  // kDomains: none.
  std::uint64_t store_calls_ = 0;
  std::uint64_t calls_in_second_ = 0;
  Duration::rep counted_second_ = 0;
  std::deque<Time> changes_;  // When the platform's head changed.
  std::uint64_t status_writes_ = 0;
  std::uint64_t last_operation_ = 0;
  std::uint64_t last_rule_ = 0;
  RunDigest digest_;
  SoakReport report_;
};

SoakReport RunDistribution(const SoakOptions& options) {
  return DistributionRun(options).Run();
}

}  // namespace

SoakTopic DistributionTopic() {
  return {"distribution",
          RunDistribution,
          {"accept_older", "skip_digest_check", "ignore_budget",
           "everyone_reads", "no_exchange", "write_each_report",
           "keep_all_history", "trust_the_store"}};
}

}  // namespace verbenastile
