#include "core/distribution.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <limits>

#include "core/invariant.h"

namespace verbenastile {
namespace {

// How often membership, the reader role and request timeouts are checked.
constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
// Random peers to which a new generation is announced in addition to the
// node's children in the tree.
constexpr int kRandomAnnouncements = 2;
// A message from any peer within this time shows that peers are reachable.
constexpr Duration kRecentContactWindow = std::chrono::seconds(10);
// The least time between two fetches of the same version.
constexpr Duration kMinRefetchInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxPeerBudgets = 256;
// An unchanged status is rewritten after this time.
constexpr Duration kStatusRefresh = std::chrono::seconds(60);
constexpr std::int64_t kUnlimitedDebt =
    std::numeric_limits<std::int64_t>::min() / 2;
constexpr double kMicrosecondsPerSecond = 1e6;
constexpr std::size_t kDigestBytes = 16;

}  // namespace

Distribution::Distribution(const DistributionInit& init,
                           const Member& self,
                           const MemberDirectory* directory,
                           ConfigApplier* applier)
    : init_(init),
      self_(self),
      directory_(directory),
      applier_(applier),
      random_(init.seed),
      contacts_(directory, self.name),
      turn_(init.reader),
      gate_(init.start),
      history_(init.max_history_generations,
               init.seams.keep_all_history ? SIZE_MAX : init.max_history_bytes),
      reports_(init.report_expiry) {}

Version Distribution::held() const {
  return empty() ? Version{} : VersionOf(*applier_->snapshot());
}

void Distribution::Start(Time now) {
  started_ = now;
  node_budget_.emplace(init_.node_rate.bytes_per_second,
                       init_.node_rate.burst_bytes, now);
  turn_.Start(now);
  next_check_ = now;
  next_exchange_ = now + random_.UpTo(init_.fast_exchange_interval);
  next_report_ = now + init_.report_refresh;
  next_status_ = now;
  OnTime(now);
}

void Distribution::OnTime(Time now) {
  if (now >= next_check_) {
    next_check_ = now + kCheckInterval;
    UpdatePlace(now);
    UpdateTurn(now);
    if (pull_ && now >= pull_->expiry) {
      contacts_.Failed(now, pull_->from, random_);
      EndPull(now, true);
    }
    TryStart(now);
    MaybeFetch(now);
    WriteStatus(now);
  }
  if (!relays()) {
    return;
  }
  if (now >= next_exchange_) {
    Exchange(now);
  }
  if (now >= next_report_) {
    Report(now);
  }
}

Time Distribution::next_time() const {
  return relays() ? std::min({next_check_, next_exchange_, next_report_})
                  : next_check_;
}

std::vector<DistributionAction> Distribution::TakeActions() {
  return std::exchange(actions_, {});
}

std::string Distribution::waiting_for() const {
  return empty() ? gate_.Explain() : std::string();
}

// Sending.

void Distribution::Send(Time now,
                        const SocketAddress& to,
                        DistributionMessage message) {
  const std::size_t bytes = WireBytes(message);
  if (peer_budgets_.size() >= kMaxPeerBudgets) {
    peer_budgets_.clear();
  }
  ByteBudget& peer =
      peer_budgets_
          .try_emplace({to.ip, to.port}, init_.peer_rate.bytes_per_second,
                       init_.peer_rate.burst_bytes, now)
          .first->second;
  const bool allowed = peer.Left(now) > 0 && node_budget_->Left(now) > 0;
  if (!allowed && !init_.seams.ignore_budget) {
    ++stats_.over_budget;
    return;
  }
  const auto cost = static_cast<std::int64_t>(bytes);
  peer.Spend(now, cost, kUnlimitedDebt);
  node_budget_->Spend(now, cost, kUnlimitedDebt);
  CheckBudget(now, bytes);
  actions_.push_back(SendAction{to, std::move(message)});
}

// Verifies, independently of the token bucket, that the total sent stays within
// the configured burst and rate plus one message.
void Distribution::CheckBudget(Time now, std::size_t bytes) {
  stats_.sent_bytes += bytes;
  largest_message_ = std::max(largest_message_, bytes);
  const double seconds =
      static_cast<double>((now - started_).count()) / kMicrosecondsPerSecond;
  const double bound =
      static_cast<double>(init_.node_rate.burst_bytes) +
      static_cast<double>(largest_message_) +
      seconds * static_cast<double>(init_.node_rate.bytes_per_second);
  CheckInvariant(static_cast<double>(stats_.sent_bytes) <= bound + 1,
                 "byte_budget_kept",
                 fmt::format("sent={} bound={}", stats_.sent_bytes, bound));
}

// Messages.

struct Distribution::Handler {
  Distribution& d;
  Time now;
  const PeerIdentity& peer;

  void operator()(const SummaryMessage& m) { d.OnSummary(now, peer, m); }
  void operator()(const AskMessage& m) { d.OnAsk(now, peer, m); }
  void operator()(const Delta& m) { d.OnDelta(now, peer, m); }
  void operator()(DigestsMessage& m) { d.OnDigests(now, peer, std::move(m)); }
  void operator()(const ItemsAskMessage& m) { d.OnItemsAsk(now, peer, m); }
  void operator()(const ItemsMessage& m) { d.OnItems(now, peer, m); }
  void operator()(ReportMessage& m) {
    d.reports_.OnReport(now, peer.name, std::move(m.view));
    d.ScheduleReport(now, d.init_.report_delay);
  }
  void operator()(const ContactsMessage& m) {
    for (const PeerIdentity& known : m.peers) {
      d.contacts_.Learned(known);
    }
  }
};

void Distribution::OnMessage(Time now,
                             const PeerIdentity& peer,
                             DistributionMessage message) {
  if (!relays()) {
    return;
  }
  contacts_.Heard(now, peer);
  std::visit(Handler{*this, now, peer}, message);
}

void Distribution::OnPeerFailed(Time now, const SocketAddress& peer) {
  contacts_.Failed(now, peer, random_);
  if (pull_ && pull_->from == peer) {
    EndPull(now, true);
  }
}

void Distribution::OnSummary(Time now,
                             const PeerIdentity& peer,
                             const SummaryMessage& m) {
  if (empty()) {
    gate_.OnPeer(now, peer.name, m.held);
  }
  const Version own = held();
  if (m.answer_wanted && m.held != own) {
    Send(now, peer.control, SummaryMessage{own, false});
  }
  if (m.answer_wanted && m.held.generation == 0) {
    SendContacts(now, peer.control);
  }
  if (m.held.generation == own.generation && m.held != own) {
    ++stats_.forked;
  }
  if (m.held.generation > own.generation && IsWanted(m.held)) {
    Pull(now, peer.control, m.held);
  }
  TryStart(now);
}

void Distribution::SendContacts(Time now, const SocketAddress& to) {
  ContactsMessage contacts{contacts_.Some(kMaxSentContacts, random_)};
  if (!contacts.peers.empty()) {
    Send(now, to, std::move(contacts));
  }
}

void Distribution::OnAsk(Time now,
                         const PeerIdentity& peer,
                         const AskMessage& m) {
  const SnapshotPointer newest = applier_->snapshot();
  if (!newest || newest->generation <= m.held.generation) {
    Send(now, peer.control, SummaryMessage{held(), false});
    return;
  }
  const bool whole = !UsesDeltas(init_.policy) ||
                     m.form == AskMessage::Form::kWhole || m.held == Version{};
  const SnapshotPointer base = whole ? nullptr : history_.Find(m.held);
  if (m.form == AskMessage::Form::kDelta && base) {
    Send(now, peer.control, MakeDelta(*base, *newest));
    return;
  }
  if (whole || BodyBytes(*newest) < newest->items.size() * kDigestBytes) {
    Send(now, peer.control, MakeFullDelta(*newest));
    return;
  }
  DigestsMessage digests{VersionOf(*newest), {}};
  for (const ItemPointer& item : newest->items) {
    digests.digests.push_back(item->digest);
  }
  Send(now, peer.control, std::move(digests));
}

// Whether `version` is newer than the one in force and was not refused. Counts
// duplicate, forked and stale versions.
bool Distribution::IsWanted(const Version& version) {
  const Version own = held();
  if (version == own) {
    ++stats_.duplicates;
    return false;
  }
  if (version.generation == own.generation && !empty()) {
    ++stats_.forked;
    return false;
  }
  if (version.generation < own.generation) {
    ++stats_.stale;
    return false;
  }
  return version != refused_;
}

void Distribution::OnDelta(Time now,
                           const PeerIdentity& peer,
                           const Delta& delta) {
  if (empty()) {
    gate_.OnPeer(now, peer.name, delta.to);
  }
  if (!IsWanted(delta.to)) {
    return;
  }
  SnapshotPointer base;
  if (!delta.is_full()) {
    base =
        delta.from == held() ? applier_->snapshot() : history_.Find(delta.from);
    if (!base) {
      ++stats_.unknown_base;
      Pull(now, peer.control, delta.to);
      return;
    }
  }
  auto snapshot = Assemble(base.get(), delta);
  if (!snapshot) {
    OnBadContent(now, peer, delta.to);
    return;
  }
  ++(delta.is_full() ? stats_.wholes_applied : stats_.deltas_applied);
  OnContent(now, std::make_shared<const Snapshot>(std::move(*snapshot)));
}

std::optional<Snapshot> Distribution::Assemble(const Snapshot* base,
                                               const Delta& delta) {
  std::span<const ItemPointer> items;
  if (base != nullptr) {
    items = base->items;
  }
  if (!init_.seams.skip_digest_check) {
    return ApplyDelta(items, delta);
  }
  auto assembled = AssembleItems(items, delta);
  if (!assembled) {
    return std::nullopt;
  }
  return Snapshot{delta.to.generation, delta.to.digest, std::move(*assembled)};
}

void Distribution::OnDigests(Time now,
                             const PeerIdentity& peer,
                             DigestsMessage m) {
  if (!pull_ || pull_->from != peer.control || !IsWanted(m.version)) {
    return;
  }
  ContentPull pull = *pull_;
  pull.wanted = m.version;
  pull.expiry = now + init_.answer_timeout;
  pull.assembly.emplace(std::move(m), applier_->snapshot().get());
  const Version version = pull.wanted;
  std::vector<std::uint32_t> missing = pull.assembly->Missing();
  pull_ = std::move(pull);
  if (!missing.empty()) {
    Send(now, peer.control, ItemsAskMessage{version, std::move(missing)});
    return;
  }
  OnItems(now, peer, ItemsMessage{version, {}});
}

void Distribution::OnItemsAsk(Time now,
                              const PeerIdentity& peer,
                              const ItemsAskMessage& m) {
  const SnapshotPointer snapshot = history_.Find(m.version);
  if (!snapshot) {
    Send(now, peer.control, SummaryMessage{held(), false});
    return;
  }
  ItemsMessage items{m.version, {}};
  for (const std::uint32_t index : m.indexes) {
    if (index >= snapshot->items.size() ||
        items.items.size() >= snapshot->items.size()) {
      actions_.push_back(CloseAction{peer.control, "item index out of range"});
      return;
    }
    items.items.push_back(snapshot->items[index]);
  }
  Send(now, peer.control, std::move(items));
}

void Distribution::OnItems(Time now,
                           const PeerIdentity& peer,
                           const ItemsMessage& m) {
  if (!pull_ || pull_->from != peer.control || !pull_->assembly ||
      pull_->assembly->version() != m.version || !IsWanted(m.version)) {
    return;
  }
  auto snapshot = pull_->assembly->Complete(m);
  if (!snapshot) {
    OnBadContent(now, peer, m.version);
    return;
  }
  ++stats_.assembled;
  OnContent(now, std::make_shared<const Snapshot>(std::move(*snapshot)));
}

// Pulling.

void Distribution::Pull(Time now,
                        const SocketAddress& from,
                        const Version& wanted) {
  if (pull_ || !contacts_.Ready(now, from) ||
      (staged_ && VersionOf(*staged_) == wanted)) {
    return;
  }
  const auto form = UsesDeltas(init_.policy) ? AskMessage::Form::kDelta
                                             : AskMessage::Form::kWhole;
  Ask(now, {from, wanted, form, now + init_.answer_timeout, std::nullopt});
}

void Distribution::Ask(Time now, ContentPull pull) {
  const Version base = pull.form == AskMessage::Form::kDelta ||
                               pull.form == AskMessage::Form::kDigests
                           ? held()
                           : Version{};
  Send(now, pull.from, AskMessage{pull.form, base, pull.wanted});
  pull_ = std::move(pull);
}

void Distribution::EndPull(Time now, bool failed) {
  pull_.reset();
  if (failed) {
    ++stats_.pulls_failed;
    next_exchange_ = std::min(next_exchange_,
                              now + random_.UpTo(init_.fast_exchange_interval));
  }
}

// Retries with the same peer in a more complete form: first the item digests,
// then the whole snapshot. Closes the connection if the whole snapshot is bad
// too, or if no generation is in force.
void Distribution::OnBadContent(Time now,
                                const PeerIdentity& peer,
                                const Version& version) {
  ++stats_.bad_content;
  const bool requested = pull_ && pull_->from == peer.control;
  const auto last = requested ? pull_->form : AskMessage::Form::kDelta;
  if (pull_ && !requested) {
    return;
  }
  if (last == AskMessage::Form::kWhole || empty()) {
    gate_.Forget(peer.name);
    contacts_.Failed(now, peer.control, random_);
    EndPull(now, true);
    actions_.push_back(
        CloseAction{peer.control, "content does not match its digest"});
    return;
  }
  const auto next = last == AskMessage::Form::kDelta
                        ? AskMessage::Form::kDigests
                        : AskMessage::Form::kWhole;
  Ask(now,
      {peer.control, version, next, now + init_.answer_timeout, std::nullopt});
}

// Applying.

void Distribution::OnContent(Time now, SnapshotPointer snapshot) {
  if (pull_ && pull_->wanted.generation <= snapshot->generation) {
    EndPull(now, false);
  }
  if (!empty() || !relays()) {
    Offer(now, std::move(snapshot));
    return;
  }
  if (!staged_ || staged_->generation <= snapshot->generation) {
    staged_ = std::move(snapshot);
  }
  TryStart(now);
}

// While no generation is in force, applies or requests the version that the
// start gate has decided on.
void Distribution::TryStart(Time now) {
  if (!empty() || !relays()) {
    return;
  }
  const auto decided = gate_.Decide(now);
  if (!decided || decided == refused_) {
    return;
  }
  if (staged_ && VersionOf(*staged_) == *decided) {
    Offer(now, std::exchange(staged_, nullptr));
    return;
  }
  if (pull_) {
    return;
  }
  for (const std::string& holder : gate_.Holders(*decided)) {
    const auto address = contacts_.Find(holder);
    if (address && contacts_.Ready(now, *address)) {
      Pull(now, *address, *decided);
      return;
    }
  }
}

void Distribution::Offer(Time now, SnapshotPointer snapshot) {
  CheckInvariant(DigestOfItems(snapshot->items) == snapshot->digest,
                 "content_has_its_digest",
                 fmt::format("generation={}", snapshot->generation));
  const SnapshotPointer previous = applier_->snapshot();
  const Version offered = VersionOf(*snapshot);
  const ApplyOutcome outcome = applier_->Offer(std::move(snapshot));
  actions_.push_back(OfferedAction{outcome, offered});
  if (outcome == ApplyOutcome::kRefused) {
    refused_ = offered;
    ScheduleReport(now, init_.report_delay);
  }
  if (outcome != ApplyOutcome::kInForce) {
    return;
  }
  history_.Add(applier_->snapshot());
  CheckInvariant(
      history_.size() == 1 || history_.old_bytes() <= init_.max_history_bytes,
      "history_bounded", fmt::format("bytes={}", history_.old_bytes()));
  staged_.reset();
  PushToPeers(now, previous);
  ScheduleReport(now, init_.report_delay);
}

void Distribution::PushToPeers(Time now, const SnapshotPointer& previous) {
  if (!relays()) {
    return;
  }
  for (const TreePeer& child : place_.children) {
    if (contacts_.Ready(now, child.control)) {
      Send(now, child.control,
           PushMessage(init_.policy, previous, *applier_->snapshot()));
    }
  }
  for (int sent = 0; sent < kRandomAnnouncements; ++sent) {
    if (const auto peer = contacts_.PickAny(now, random_)) {
      Send(now, *peer, SummaryMessage{held(), false});
    }
  }
  next_exchange_ =
      std::min(next_exchange_,
               now + random_.Jitter50Percent(init_.fast_exchange_interval));
}

// The platform.

void Distribution::OnPlatformHead(Time now, const Version& version) {
  // The platform source reports the same head again when a fetch may have
  // failed, so allow a new fetch.
  if (platform_version_ == version) {
    fetch_since_.reset();
  }
  platform_version_ = version;
  const Version own = held();
  const bool other = version.generation < own.generation ||
                     (version.generation == own.generation && version != own);
  if (other != other_history_) {
    other_history_ = other;
    ScheduleReport(now, init_.report_delay);
  }
  if (other) {
    const bool forked = version.generation == own.generation;
    ++(forked ? stats_.forked : stats_.stale);
    actions_.push_back(OfferedAction{
        forked ? ApplyOutcome::kForked : ApplyOutcome::kOlder, version});
    return;
  }
  if (empty() && version != refused_) {
    gate_.OnPlatform(now, version);
  }
  if (empty() && !fetch_not_before_) {
    fetch_not_before_ =
        now + turn_.FirstFetchWait(now, contacts_.fleet_size(), random_);
  }
  MaybeFetch(now);
}

// Fetches the platform's newest generation, one at a time. A node without any
// generation would have to read all of the content, so for `fetch_timeout`
// after the start it leaves the fetch to peers that hold the generation.
void Distribution::MaybeFetch(Time now) {
  if (!turn_.reading() || !platform_version_ ||
      platform_version_->generation <= applier_->generation() ||
      platform_version_ == refused_ || (empty() && now < fetch_not_before_) ||
      (fetch_since_ && now - *fetch_since_ < init_.fetch_timeout)) {
    return;
  }
  if (fetching_ == *platform_version_ &&
      now - last_fetch_ < kMinRefetchInterval) {
    return;
  }
  const bool staged =
      staged_ && (staged_->generation > platform_version_->generation ||
                  VersionOf(*staged_) == *platform_version_);
  const bool at_peers = !gate_.Holders(*platform_version_).empty();
  const bool peers_first = now - started_ < init_.fetch_timeout;
  if (empty() && (staged || (at_peers && peers_first))) {
    return;
  }
  fetch_since_ = now;
  last_fetch_ = now;
  fetching_ = *platform_version_;
  actions_.push_back(FetchAction{});
}

void Distribution::OnPlatformSnapshot(Time now, SnapshotPointer snapshot) {
  if (VersionOf(*snapshot) == fetching_) {
    fetch_since_.reset();
  }
  if (IsWanted(VersionOf(*snapshot))) {
    OnContent(now, std::move(snapshot));
  }
  MaybeFetch(now);
}

// Reader role and exchanges.

void Distribution::UpdatePlace(Time now) {
  if (place_revision_ == directory_->revision()) {
    return;
  }
  place_revision_ = directory_->revision();
  const std::string parent = place_.parent.name;
  place_ = PlaceOf(*directory_, self_);
  if (place_.parent.name != parent) {
    last_view_.reset();
  }
  ScheduleReport(now, init_.report_delay);
}

void Distribution::UpdateTurn(Time now) {
  ReaderView view;
  view.chosen = !relays() || init_.seams.everyone_reads || place_.reader;
  view.empty = empty();
  view.fleet_size = contacts_.fleet_size();
  view.last_heard = contacts_.last_heard();
  view.peers_also_empty = view.last_heard &&
                          now - *view.last_heard < kRecentContactWindow &&
                          !gate_.has_peer_claims();
  const bool before = turn_.following();
  const bool after = turn_.Update(now, view, random_);
  if (before != after) {
    actions_.push_back(FollowAction{after});
  }
  if (before && !after) {
    platform_version_.reset();
    fetch_since_.reset();
  }
}

void Distribution::Exchange(Time now) {
  const Duration interval =
      empty() ? init_.fast_exchange_interval : init_.exchange_interval;
  next_exchange_ = now + random_.Jitter50Percent(interval);
  if (init_.seams.no_exchange) {
    return;
  }
  if (const auto peer = contacts_.PickAny(now, random_)) {
    Send(now, *peer, SummaryMessage{held(), true});
  }
}

// Reports.

void Distribution::ScheduleReport(Time now, Duration delay) {
  next_report_ = std::min(next_report_, now + delay);
}

DomainView Distribution::OwnView() const {
  DomainView own;
  own.failure_domain = self_.failure_domain;
  own.newest = applier_->generation();
  own.nodes = 1;
  own.counts[own.newest] = 1;
  own.laggards.push_back({self_.name, own.newest});
  own.refusal = applier_->refusal();
  own.refused_by = own.refusal.generation == 0 ? 0 : 1;
  own.other_history = other_history_ ? 1 : 0;
  return own;
}

FleetView Distribution::fleet(Time now) const {
  FleetView fleet;
  fleet.domains[self_.failure_domain] = reports_.Sum(now, place_, OwnView());
  return fleet;
}

void Distribution::Report(Time now) {
  next_report_ = now + random_.Jitter50Percent(init_.report_refresh);
  DomainView view = reports_.Sum(now, place_, OwnView());
  const bool refresh = now - last_report_ >= init_.report_refresh / 2;
  if (!place_.writer && (view != last_view_ || refresh)) {
    last_report_ = now;
    last_view_ = view;
    Send(now, place_.parent.control, ReportMessage{std::move(view)});
  }
}

void Distribution::WriteStatus(Time now) {
  if (!relays() || !place_.writer || !turn_.following() || empty() ||
      writing_view_ || (now < next_status_ && !init_.seams.write_each_report)) {
    return;
  }
  DomainView view = reports_.Sum(now, place_, OwnView());
  const bool refresh = now - next_status_ >= kStatusRefresh;
  if (view == written_view_ && !refresh && !init_.seams.write_each_report) {
    return;
  }
  next_status_ = now + init_.status_interval;
  writing_view_ = view;
  actions_.push_back(WriteStatusAction{std::move(view)});
}

void Distribution::OnStatusWritten(Time now, bool written) {
  if (written) {
    written_view_ = std::exchange(writing_view_, std::nullopt);
    return;
  }
  writing_view_.reset();
  next_status_ = now + random_.Jitter50Percent(2 * init_.status_interval);
}

}  // namespace verbenastile
