#include "mesh/link_hub.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <vector>

#include "base/log.h"
#include "base/overload.h"
#include "io/http_status.h"
#include "io/listen.h"
#include "mesh/frame_check.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "links";

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// The delay before a failed link is reconnected doubles with each failure, up
// to the maximum.
constexpr Duration kFirstReconnectDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxReconnectDelay = std::chrono::seconds(1);
constexpr unsigned kMaxReconnectDoublings = 4;
constexpr Duration kCheckInterval = std::chrono::milliseconds(150);
// A longer time between two checks means that the process was suspended. Frames
// that peers sent meanwhile may still be unread, so silence is no sign of a
// failed link.
constexpr Duration kMaxCheckGap = std::chrono::milliseconds(600);

// Whether `body` completes the response to a call.
bool EndsCall(const LinkBody& body) {
  return std::visit(
      Overload{[](const GateRefusal&) { return true; },
               [](const GateFailure&) { return true; },
               [](const GateResponse& response) { return response.last; },
               [](const GateResponseChunk& chunk) { return chunk.last; },
               [](const auto&) { return false; }},
      body);
}

}  // namespace

LinkHub::LinkHub(Init init)
    : init_(std::move(init)),
      acceptor_(*init_.io),
      check_timer_(*init_.io),
      random_(init_.seed) {}

LinkHub::~LinkHub() {
  Close();
}

std::string LinkHub::Open() {
  std::string error = Listen(acceptor_, init_.address);
  if (!error.empty()) {
    return error;
  }
  last_check_ = SteadyNow();
  Accept();
  ScheduleCheck();
  return {};
}

void LinkHub::Close() {
  asio::error_code ignored;  // The acceptor may not be open.
  acceptor_.close(ignored);
  check_timer_.cancel();
  for (const auto& [name, peer] : std::exchange(outgoing_, {})) {
    Discard(*peer);
  }
  for (const auto& peer : std::exchange(incoming_, {})) {
    peer->link->Close();
  }
}

void LinkHub::Accept() {
  acceptor_.async_accept(
      [this](const asio::error_code& error, Tcp::socket socket) {
        if (!acceptor_.is_open()) {
          return;
        }
        if (error) {
          Log(LogLevel::kWarning, kLogComponent, "Failed to accept a link.",
              {{"error", error.message()}});
        } else {
          AddIncoming(std::move(socket));
        }
        Accept();
      });
}

void LinkHub::AddIncoming(Tcp::socket socket) {
  const auto peer = std::make_shared<Incoming>();
  peer->link = std::make_shared<Link>(std::move(socket), &deltas_);
  peer->number = ++last_incoming_;
  incoming_.insert(peer);
  const std::weak_ptr<Incoming> weak = peer;
  peer->link->Open({[this, weak](LinkFrame frame) {
                      if (const auto locked = weak.lock()) {
                        OnIncomingFrame(locked, std::move(frame));
                      }
                    },
                    [this, weak](std::string_view reason) {
                      if (const auto locked = weak.lock()) {
                        DropIncoming(locked, reason);
                      }
                    }});
}

void LinkHub::OnIncomingFrame(const IncomingPointer& peer, LinkFrame frame) {
  const CallId id = frame.call;
  const bool has_introduced_itself = !peer->name.empty();
  if (has_introduced_itself && !std::holds_alternative<LinkHello>(frame.body) &&
      !std::exchange(peer->in_use, true)) {
    DropEarlierLinks(peer);
  }
  std::visit(
      Overload{
          [&](const LinkHello& hello) {
            peer->name = hello.self.member.name;
            init_.on_member_record(hello.self);
            peer->link->Send(HelloFrame());
            init_.on_load(peer->name, {{}, hello.configuration});
            peer->link->Send({0, LinkMemberKnown{hello.self.sequence}});
            ShareInstanceNotice(*peer->link, peer->name);
            ShareCrashEvidence(*peer->link);
            ShareRollouts(*peer->link);
          },
          [&](GateCall& call) { OnIncomingCall(peer, id, std::move(call)); },
          [&](const LinkCancel&) { OnIncomingCancel(peer, id); },
          [&](const LinkCredit& credit) {
            const auto found = peer->calls.find(id);
            if (found != peer->calls.end()) {
              init_.gate->GrantCredit(found->second, credit.bytes);
            }
          },
          [&](const LinkPing&) {
            peer->link->Send({0, LinkPong{init_.gate->load()}});
          },
          [&](const LinkMember& member) {
            init_.on_member_record(member.record);
            ConfirmRecord(*peer->link, member.record);
          },
          [&](const LinkInstanceNotice&) {
            OnInstanceFrame(peer->name, frame);
          },
          [&](const LinkMemberKnown&) { OnInstanceFrame(peer->name, frame); },
          [&](const LinkMembersWanted&) {
            if (init_.members) {
              peer->link->Send({0, init_.members(peer->name)});
            }
          },
          [&](const LinkSuspicion& suspicion) {
            const auto found = outgoing_.find(suspicion.member);
            if (found != outgoing_.end()) {
              Log(LogLevel::kInfo, kLogComponent,
                  "Another node lost its link to the peer.",
                  {{"peer", suspicion.member}, {"by", peer->name}});
              found->second->watch.OnPeerSuspected();
            }
          },
          [&](const LinkCrashEvidence& known) {
            init_.on_crash_evidence(peer->name, known.evidence);
          },
          [&](const LinkQuotaNeeds& message) {
            if (init_.on_quota_needs) {
              peer->link->Send({0, LinkQuotaLoans{init_.on_quota_needs(
                                       peer->name, message.needs)}});
            }
          },
          [&](const LinkQuotaPartRequest& message) {
            if (init_.on_quota_part_request) {
              peer->link->Send(
                  {0, LinkQuotaPartGrant{init_.on_quota_part_request(
                          peer->name, message.request)}});
            }
          },
          [&](const LinkQuotaPartChanged&) {
            if (init_.on_quota_part_changed) {
              init_.on_quota_part_changed(peer->name);
            }
          },
          [&](const LinkRollouts& message) {
            if (message.asks) {
              ShareRollouts(*peer->link);
            } else if (init_.on_rollouts) {
              init_.on_rollouts(peer->name, message);
            }
          },
          [&](const LinkConfigurationRequest& request) {
            if (const auto* delta = init_.configuration_delta(request.held)) {
              init_.sender->OnSent(
                  peer->link->Send({0, LinkConfiguration{*delta}}));
            }
          },
          [](const auto&) {}},
      frame.body);
}

void LinkHub::OnIncomingCall(const IncomingPointer& peer,
                             CallId id,
                             GateCall call) {
  if (!IsValidCall(call)) {
    Log(LogLevel::kWarning, kLogComponent, "A peer's call is not valid.",
        {{"peer", peer->name}, {"call", id}, {"request", call.request_id}});
    GateResponse response;
    response.status = kHttpBadRequest;
    response.last = true;
    response.load = init_.gate->load();
    SendResponse(peer, id, std::move(response));
    return;
  }
  call.origin = peer->name;
  peer->arrived.emplace_back(id, std::move(call));
  if (peer->arrived.size() > 1) {
    return;
  }
  asio::post(*init_.io, [this, weak = std::weak_ptr(peer)] {
    if (const auto locked = weak.lock()) {
      StartArrived(locked);
    }
  });
}

void LinkHub::OnIncomingCancel(const IncomingPointer& peer, CallId id) {
  if (const auto found = peer->calls.find(id); found != peer->calls.end()) {
    const CallId gate_id = found->second;
    peer->calls.erase(found);
    peer->queued.erase(id);
    init_.gate->Cancel(gate_id, CancelCause::kCancelled);
    return;
  }
  std::erase_if(peer->arrived, [&](const auto& arrived) {
    if (arrived.first != id) {
      return false;
    }
    init_.gate->OnCancelledUnread(arrived.second, CancelCause::kCancelled);
    return true;
  });
}

// Runs in an event of its own, after all frames that were read with the calls.
void LinkHub::StartArrived(const IncomingPointer& peer) {
  if (peer->arrived.empty()) {
    return;
  }
  if (peer->link->HasPeerClosed()) {
    DropArrived(peer);
    return;
  }
  for (auto& [id, call] : std::exchange(peer->arrived, {})) {
    const std::weak_ptr<Incoming> weak = peer;
    peer->calls[id] =
        init_.gate->Start(std::move(call), ResponsePath::kLink,
                          [this, weak, call_id = id](LinkBody body) {
                            const auto locked = weak.lock();
                            if (locked && locked->calls.contains(call_id)) {
                              SendResponse(locked, call_id, std::move(body));
                            }
                          });
  }
}

void LinkHub::DropArrived(const IncomingPointer& peer) {
  for (const auto& [id, call] : std::exchange(peer->arrived, {})) {
    init_.gate->OnCancelledUnread(call, CancelCause::kLinkEnded);
  }
}

// Small frames are sent at once; large bodies go through the paced sender.
void LinkHub::SendResponse(const IncomingPointer& peer,
                           CallId id,
                           LinkBody body) {
  if (auto* response = std::get_if<GateResponse>(&body);
      response != nullptr &&
      response->body.size() > PacedSender::kMaxUnpacedBytes) {
    GateResponseChunk chunk{std::exchange(response->body, {}), response->last};
    response->last = false;
    peer->link->Send({id, std::move(body)});
    Enqueue(peer, id, std::move(chunk));
    return;
  }
  auto* chunk = std::get_if<GateResponseChunk>(&body);
  const bool has_queued_data = peer->queued.contains(id);
  if (chunk != nullptr &&
      (has_queued_data || chunk->body.size() > PacedSender::kMaxUnpacedBytes)) {
    Enqueue(peer, id, std::move(*chunk));
    return;
  }
  if (has_queued_data) {
    // The response was aborted; its queued data is no longer needed.
    peer->queued.erase(id);
  }
  if (EndsCall(body)) {
    peer->calls.erase(id);
  }
  init_.sender->OnSent(peer->link->Send({id, std::move(body)}));
}

void LinkHub::Enqueue(const IncomingPointer& peer,
                      CallId id,
                      GateResponseChunk chunk) {
  peer->queued.insert(id);
  const std::weak_ptr<Incoming> weak = peer;
  init_.sender->Enqueue(
      std::move(chunk.body),
      [weak, id, ends_body = chunk.last](std::string bytes, bool is_final) {
        const auto locked = weak.lock();
        if (!locked || !locked->queued.contains(id)) {
          return false;
        }
        const bool last = ends_body && is_final;
        if (last) {
          locked->queued.erase(id);
          locked->calls.erase(id);
        }
        locked->link->Send({id, GateResponseChunk{std::move(bytes), last}});
        return true;
      });
}

void LinkHub::DropIncoming(const IncomingPointer& peer,
                           std::string_view reason) {
  Log(LogLevel::kInfo, kLogComponent, "Incoming link closed.",
      {{"peer", peer->name}, {"error", reason}, {"calls", peer->calls.size()}});
  incoming_.erase(peer);
  peer->queued.clear();
  DropArrived(peer);
  for (const auto& [id, gate_id] : std::exchange(peer->calls, {})) {
    init_.gate->Cancel(gate_id, CancelCause::kLinkEnded);
  }
}

// A node uses one link to this one, and ends its calls when it uses another.
// The end of the earlier one may not arrive, if the network lost the
// connection.
void LinkHub::DropEarlierLinks(const IncomingPointer& peer) {
  std::vector<IncomingPointer> earlier;
  for (const IncomingPointer& other : incoming_) {
    if (other->name == peer->name && other->number < peer->number) {
      earlier.push_back(other);
    }
  }
  for (const IncomingPointer& other : earlier) {
    other->link->Close();
    DropIncoming(other, "the peer uses another link");
  }
}

void LinkHub::UpdateLinks() {
  const auto& entries = init_.member_registry->entries();
  const std::string own_name = init_.self().member.name;
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    const auto entry = entries.find(it->first);
    const bool is_stale =
        entry == entries.end() ||
        entry->second.record.member.peer_address != it->second->address;
    if (is_stale) {
      const OutgoingPointer peer = it->second;
      it = outgoing_.erase(it);
      const std::vector<CallId> unsent = UnsentCalls(*peer);
      Discard(*peer);
      init_.member_registry->SetLinked(peer->name, false, SteadyNow());
      init_.on_link_down(peer->name, unsent);
    } else {
      ++it;
    }
  }
  for (const auto& [name, entry] : entries) {
    const Member& member = entry.record.member;
    const bool wanted = name != own_name && !outgoing_.contains(name) &&
                        member.state != MemberState::kLeft;
    if (wanted) {
      const auto peer = std::make_shared<Outgoing>(*init_.io);
      peer->name = name;
      peer->address = member.peer_address;
      outgoing_[name] = peer;
      Connect(peer);
    }
  }
}

void LinkHub::Connect(const OutgoingPointer& peer) {
  asio::error_code error;
  const Tcp::endpoint endpoint(asio::ip::make_address(peer->address.ip, error),
                               peer->address.port);
  peer->socket = Tcp::socket(*init_.io);
  if (!error) {
    peer->socket.open(endpoint.protocol(), error);
  }
  if (error) {
    OnConnected(peer, error);
    return;
  }
  peer->timer.expires_after(kConnectTimeout);
  peer->timer.async_wait([peer](const asio::error_code& cancelled) {
    if (!cancelled && !peer->link && !peer->closed) {
      asio::error_code ignored;  // The attempt has timed out.
      peer->socket.close(ignored);
    }
  });
  peer->socket.async_connect(endpoint,
                             [this, peer](const asio::error_code& failed) {
                               if (!peer->closed) {
                                 OnConnected(peer, failed);
                               }
                             });
}

void LinkHub::OnConnected(const OutgoingPointer& peer,
                          const asio::error_code& error) {
  peer->timer.cancel();
  if (error) {
    ScheduleReconnect(peer);
    return;
  }
  peer->link = std::make_shared<Link>(std::move(peer->socket), &deltas_);
  peer->handshake_done = false;
  peer->watch.OnOpened(SteadyNow());
  peer->link->Open({[this, peer](LinkFrame frame) {
                      OnOutgoingFrame(peer, std::move(frame));
                    },
                    [this, peer](std::string_view reason) {
                      OnOutgoingClosed(peer, reason);
                    }});
  peer->link->Send(HelloFrame());
}

LinkFrame LinkHub::HelloFrame() const {
  return {0, LinkHello{init_.self(), init_.configuration()}};
}

void LinkHub::OnOutgoingFrame(const OutgoingPointer& peer, LinkFrame frame) {
  peer->watch.OnFrameReceived();
  if (std::exchange(peer->silent, false)) {
    Log(LogLevel::kInfo, kLogComponent, "A silent peer answers again.",
        {{"peer", peer->name}, {"calls", peer->calls.size()}});
    init_.member_registry->SetLinked(peer->name, true, SteadyNow());
  }
  if (frame.call != 0) {
    RejectInvalidResponse(*peer, frame);
    if (EndsCall(frame.body)) {
      peer->calls.erase(frame.call);
      peer->non_idempotent_calls.erase(frame.call);
    }
    init_.on_response(peer->name, std::move(frame));
    return;
  }
  std::visit(
      Overload{
          [&](const LinkHello& hello) { OnOutgoingHello(peer, hello); },
          [&](const LinkPong& pong) { init_.on_load(peer->name, pong.load); },
          [&](const LinkMember& member) {
            init_.on_member_record(member.record);
            ConfirmRecord(*peer->link, member.record);
          },
          [&](const LinkInstanceNotice&) {
            OnInstanceFrame(peer->name, frame);
          },
          [&](const LinkMemberKnown&) { OnInstanceFrame(peer->name, frame); },
          [&](const LinkMembers& message) {
            if (init_.on_members) {
              init_.on_members(peer->name, message);
            }
          },
          [&](const LinkConfiguration& configuration) {
            init_.on_configuration(configuration.delta);
          },
          [&](const LinkCrashEvidence& known) {
            init_.on_crash_evidence(peer->name, known.evidence);
          },
          [&](const LinkQuotaLoans& message) {
            if (init_.on_quota_loans) {
              init_.on_quota_loans(peer->name, message.loans);
            }
          },
          [&](const LinkQuotaPartGrant& message) {
            if (init_.on_quota_part_grant) {
              init_.on_quota_part_grant(peer->name, message.grant);
            }
          },
          [&](const LinkRollouts& message) {
            if (init_.on_rollouts) {
              init_.on_rollouts(peer->name, message);
            }
          },
          [](const auto&) {}},
      frame.body);
}

// Replaces a response that callers must not get by a failure, as if the
// instance had broken it off.
void LinkHub::RejectInvalidResponse(Outgoing& peer, LinkFrame& frame) {
  const auto* response = std::get_if<GateResponse>(&frame.body);
  if (response == nullptr || IsValidResponse(*response)) {
    return;
  }
  Log(LogLevel::kWarning, kLogComponent, "A peer's response is not valid.",
      {{"peer", peer.name},
       {"call", frame.call},
       {"status", response->status}});
  if (!response->last) {
    peer.link->Send({frame.call, LinkCancel{}});
  }
  frame.body = GateFailure{"the response is not valid", std::nullopt};
}

void LinkHub::OnOutgoingHello(const OutgoingPointer& peer,
                              const LinkHello& hello) {
  const std::string& name = hello.self.member.name;
  if (name != peer->name) {
    Log(LogLevel::kWarning, kLogComponent,
        "Peer address belongs to another node.",
        {{"expected", peer->name}, {"found", name}});
    init_.on_member_record(hello.self);
    peer->link->Close();
    OnOutgoingClosed(peer, "another node has the address");
    return;
  }
  peer->handshake_done = true;
  peer->failures = 0;
  Log(LogLevel::kInfo, kLogComponent, "Outgoing link opened.",
      {{"peer", name}, {"generation", hello.configuration.generation}});
  init_.on_member_record(hello.self);
  init_.member_registry->SetLinked(name, true, SteadyNow());
  init_.on_load(name, {{}, hello.configuration});
  peer->link->Send({0, LinkMemberKnown{hello.self.sequence}});
  ShareInstanceNotice(*peer->link, name);
  ShareCrashEvidence(*peer->link);
  ShareRollouts(*peer->link);
  // Tells the peer that this link is in use.
  peer->link->Send({0, LinkPing{}});
}

void LinkHub::OnOutgoingClosed(const OutgoingPointer& peer,
                               std::string_view reason) {
  if (peer->closed) {
    return;
  }
  Log(LogLevel::kWarning, kLogComponent, "Outgoing link lost.",
      {{"peer", peer->name}, {"error", reason}, {"calls", peer->calls.size()}});
  const std::vector<CallId> unsent = UnsentCalls(*peer);
  peer->link.reset();
  peer->handshake_done = false;
  peer->silent = false;
  peer->calls.clear();
  peer->non_idempotent_calls.clear();
  init_.member_registry->SetLinked(peer->name, false, SteadyNow());
  init_.on_link_down(peer->name, unsent);
  ScheduleReconnect(peer);
}

std::vector<CallId> LinkHub::UnsentCalls(const Outgoing& peer) {
  return peer.link ? peer.link->UnsentCalls() : std::vector<CallId>();
}

void LinkHub::ScheduleReconnect(const OutgoingPointer& peer) {
  const unsigned doublings = std::min(peer->failures, kMaxReconnectDoublings);
  const Duration wait =
      std::min(kFirstReconnectDelay * (1U << doublings), kMaxReconnectDelay);
  ++peer->failures;
  peer->timer.expires_after(random_.Jitter50Percent(wait));
  peer->timer.async_wait([this, peer](const asio::error_code& error) {
    if (!error && !peer->closed) {
      Connect(peer);
    }
  });
}

void LinkHub::Discard(Outgoing& peer) {
  peer.closed = true;
  peer.timer.cancel();
  asio::error_code ignored;  // The socket is discarded anyway.
  peer.socket.close(ignored);
  if (peer.link) {
    peer.link->Close();
    peer.link.reset();
  }
}

bool LinkHub::Send(std::string_view member, const LinkFrame& frame) {
  const auto found = outgoing_.find(member);
  if (found == outgoing_.end() || !found->second->handshake_done) {
    return false;
  }
  Outgoing& peer = *found->second;
  if (peer.silent && std::holds_alternative<GateCall>(frame.body)) {
    return false;
  }
  if (const auto* call = std::get_if<GateCall>(&frame.body)) {
    peer.calls.insert(frame.call);
    if (!call->idempotent) {
      peer.non_idempotent_calls.insert(frame.call);
    }
  } else if (std::holds_alternative<LinkCancel>(frame.body)) {
    peer.calls.erase(frame.call);
    peer.non_idempotent_calls.erase(frame.call);
  }
  init_.sender->OnSent(peer.link->Send(frame));
  return true;
}

bool LinkHub::IsDoubtful(std::string_view member) const {
  const auto found = outgoing_.find(member);
  return found != outgoing_.end() && found->second->handshake_done &&
         found->second->watch.IsDoubtful(SteadyNow());
}

void LinkHub::AnnounceCrashEvidence(std::vector<CrashEvidence> evidence) {
  SendToAll({0, LinkCrashEvidence{std::move(evidence)}});
}

void LinkHub::AnnounceRollouts(std::vector<RolloutReport> reports) {
  SendToAll({0, LinkRollouts{std::move(reports)}});
}

void LinkHub::ShareRollouts(Link& link) const {
  if (!init_.rollouts) {
    return;
  }
  if (auto rollouts = init_.rollouts()) {
    link.Send({0, std::move(*rollouts)});
  }
}

// Sends the frame once to each linked member.
void LinkHub::SendToAll(const LinkFrame& frame) {
  for (const auto& [name, peer] : outgoing_) {
    if (peer->handshake_done) {
      peer->link->Send(frame);
    }
  }
  for (const auto& peer : incoming_) {
    const auto found = outgoing_.find(peer->name);
    if (found == outgoing_.end() || !found->second->handshake_done) {
      peer->link->Send(frame);
    }
  }
}

void LinkHub::ConfirmRecord(Link& link, const MemberRecord& record) {
  if (record.wants_confirmation) {
    link.Send({0, LinkMemberKnown{record.sequence}});
  }
}

void LinkHub::OnInstanceFrame(std::string_view member,
                              const LinkFrame& frame) const {
  if (const auto* known = std::get_if<LinkMemberKnown>(&frame.body)) {
    if (init_.on_member_known) {
      init_.on_member_known(member, known->sequence);
    }
  } else if (const auto* heard = std::get_if<LinkInstanceNotice>(&frame.body)) {
    if (init_.on_instance_notice) {
      init_.on_instance_notice(member, heard->notice);
    }
  }
}

void LinkHub::ShareInstanceNotice(Link& link, std::string_view member) const {
  if (!init_.instance_notice) {
    return;
  }
  if (auto notice = init_.instance_notice(member)) {
    link.Send({0, LinkInstanceNotice{std::move(*notice)}});
  }
}

void LinkHub::ShareCrashEvidence(Link& link) const {
  std::vector<CrashEvidence> evidence = init_.crash_evidence();
  if (!evidence.empty()) {
    link.Send({0, LinkCrashEvidence{std::move(evidence)}});
  }
}

void LinkHub::SuspectSilence(std::string_view member) {
  const auto found = outgoing_.find(member);
  if (found != outgoing_.end()) {
    found->second->watch.OnPeerSuspected();
  }
}

void LinkHub::AnnounceSelf() {
  const LinkFrame frame{0, LinkMember{init_.self()}};
  for (const auto& [name, peer] : outgoing_) {
    if (peer->handshake_done) {
      peer->link->Send(frame);
    }
  }
  for (const auto& peer : incoming_) {
    peer->link->Send(frame);
  }
}

void LinkHub::AnnounceConfiguration() {
  const LinkFrame frame{0, LinkPong{init_.gate->load()}};
  for (const auto& peer : incoming_) {
    peer->link->Send(frame);
  }
}

std::set<std::string, std::less<>> LinkHub::incoming_members() const {
  std::set<std::string, std::less<>> members;
  for (const IncomingPointer& peer : incoming_) {
    members.insert(peer->name);
  }
  return members;
}

std::size_t LinkHub::open_links() const {
  return static_cast<std::size_t>(std::count_if(
      outgoing_.begin(), outgoing_.end(),
      [](const auto& entry) { return entry.second->handshake_done; }));
}

void LinkHub::CheckLinks(Time now) {
  const bool was_suspended = now - last_check_ > kMaxCheckGap;
  last_check_ = now;
  // A check may remove links.
  std::vector<OutgoingPointer> outgoing;
  outgoing.reserve(outgoing_.size());
  for (const auto& [name, peer] : outgoing_) {
    outgoing.push_back(peer);
  }
  for (const OutgoingPointer& peer : outgoing) {
    if (was_suspended) {
      peer->watch.OnProcessPaused(now);
    }
    if (peer->link) {
      CheckOutgoing(peer, now);
    }
  }
  const Duration max_silence = PeerSilenceTimeout(outgoing_.size());
  std::vector<IncomingPointer> silent;
  for (const auto& peer : incoming_) {
    if (!was_suspended && now - peer->link->last_received() > max_silence) {
      silent.push_back(peer);
    }
  }
  for (const IncomingPointer& peer : silent) {
    peer->link->Close();
    DropIncoming(peer, "silent");
  }
}

void LinkHub::CheckOutgoing(const OutgoingPointer& peer, Time now) {
  switch (
      peer->watch.Check({peer->link->last_received(), !peer->calls.empty(),
                         outgoing_.size(), !peer->non_idempotent_calls.empty()},
                        now)) {
    case LinkVerdict::kHealthy:
      break;
    case LinkVerdict::kProbe:
      peer->link->Send({0, LinkPing{}});
      break;
    case LinkVerdict::kSilent:
      if (!std::exchange(peer->silent, true)) {
        OnOutgoingSilent(peer);
      }
      break;
    case LinkVerdict::kBroken:
      const bool was_silent = peer->silent;
      peer->link->Close();
      OnOutgoingClosed(peer, "no answer to a probe");
      if (!was_silent) {
        BroadcastSuspicion(peer->name);
      }
      break;
  }
}

// Keeps the link for the calls that may not run again, until they end or their
// deadlines pass. The member gets no other calls meanwhile.
void LinkHub::OnOutgoingSilent(const OutgoingPointer& peer) {
  Log(LogLevel::kWarning, kLogComponent, "A peer does not answer a probe.",
      {{"peer", peer->name},
       {"calls", peer->calls.size()},
       {"non_idempotent_calls", peer->non_idempotent_calls.size()}});
  init_.member_registry->SetLinked(peer->name, false, SteadyNow());
  init_.on_link_silent(peer->name);
  BroadcastSuspicion(peer->name);
}

// Other nodes may have calls in progress on the member, or send new ones before
// their own probes are due.
void LinkHub::BroadcastSuspicion(std::string_view member) {
  const LinkFrame frame{0, LinkSuspicion{std::string(member)}};
  for (const auto& [name, peer] : outgoing_) {
    if (peer->handshake_done) {
      peer->link->Send(frame);
    }
  }
}

void LinkHub::ScheduleCheck() {
  check_timer_.expires_after(kCheckInterval);
  check_timer_.async_wait(
      [this, alive = std::weak_ptr(alive_)](const asio::error_code& error) {
        if (!error && !alive.expired()) {
          ScheduleCheck();
          CheckLinks(SteadyNow());
        }
      });
}

}  // namespace verbenastile
