#include "mesh/link_hub.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/overload.h"
#include "io/listen.h"

namespace verbenastile {
namespace {

constexpr std::string_view kPart = "links";

constexpr Duration kConnectTimeout = std::chrono::seconds(1);
// Links that broke are opened again after this, doubled up to the longest.
constexpr Duration kFirstRedial = std::chrono::milliseconds(100);
constexpr Duration kLongestRedial = std::chrono::seconds(1);
constexpr unsigned kMaxRedialDoublings = 4;
constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
// A tick that is late by this means that the process stood still: what others
// sent meanwhile has not been read yet.
constexpr Duration kStoodStill = std::chrono::milliseconds(600);

bool IsLast(const LinkBody& body) {
  return std::visit(
      Overload{[](const GateRefusal&) { return true; },
               [](const GateBroken&) { return true; },
               [](const GateAnswer& answer) { return answer.last; },
               [](const GatePart& part) { return part.last; },
               [](const auto&) { return false; }},
      body);
}

}  // namespace

LinkHub::LinkHub(Init init)
    : init_(std::move(init)),
      acceptor_(*init_.io),
      probe_timer_(*init_.io),
      random_(init_.seed) {}

LinkHub::~LinkHub() {
  Close();
}

std::string LinkHub::Open() {
  std::string error = Listen(acceptor_, init_.address);
  if (!error.empty()) {
    return error;
  }
  last_probe_ = SteadyNow();
  Accept();
  ScheduleProbe();
  return {};
}

void LinkHub::Close() {
  asio::error_code ignored;  // It may not be open.
  acceptor_.close(ignored);
  probe_timer_.cancel();
  for (const auto& [name, peer] : std::exchange(outgoing_, {})) {
    Shut(*peer);
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
          Log(LogLevel::kWarning, kPart, "A link cannot be accepted.",
              {{"error", error.message()}});
        } else {
          TakeIncoming(std::move(socket));
        }
        Accept();
      });
}

void LinkHub::TakeIncoming(Tcp::socket socket) {
  const auto peer = std::make_shared<Incoming>();
  peer->link = std::make_shared<Link>(std::move(socket), &deltas_);
  incoming_.insert(peer);
  const std::weak_ptr<Incoming> weak = peer;
  peer->link->Open({[this, weak](LinkFrame frame) {
                      if (const auto held = weak.lock()) {
                        OnIncomingFrame(held, std::move(frame));
                      }
                    },
                    [this, weak](std::string_view why) {
                      if (const auto held = weak.lock()) {
                        DropIncoming(held, why);
                      }
                    }});
}

void LinkHub::OnIncomingFrame(const IncomingPointer& peer, LinkFrame frame) {
  const CallId id = frame.call;
  std::visit(
      Overload{
          [&](const LinkHello& hello) {
            peer->name = hello.self.member.name;
            init_.on_record(hello.self);
            peer->link->Send(Hello());
            init_.on_load(peer->name, {{}, hello.configuration});
          },
          [&](GateCall& call) { OnIncomingCall(peer, id, std::move(call)); },
          [&](const LinkCancel&) {
            const auto found = peer->calls.find(id);
            if (found != peer->calls.end()) {
              const CallId at_gate = found->second;
              peer->calls.erase(found);
              peer->queued.erase(id);
              init_.gate->Cancel(at_gate);
            }
          },
          [&](const LinkCredit& credit) {
            const auto found = peer->calls.find(id);
            if (found != peer->calls.end()) {
              init_.gate->Credit(found->second, credit.bytes);
            }
          },
          [&](const LinkPing&) {
            peer->link->Send({0, LinkPong{init_.gate->load()}});
          },
          [&](const LinkMember& member) { init_.on_record(member.record); },
          [&](const LinkSuspicion& suspicion) {
            const auto found = outgoing_.find(suspicion.member);
            if (found != outgoing_.end()) {
              Log(LogLevel::kInfo, kPart, "A peer is suspected by another.",
                  {{"peer", suspicion.member}, {"by", peer->name}});
              found->second->watch.OnSuspected();
            }
          },
          [&](const LinkConfigurationWanted& wanted) {
            if (const auto* delta = init_.configuration_delta(wanted.held)) {
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
  const std::weak_ptr<Incoming> weak = peer;
  peer->calls[id] = init_.gate->Start(std::move(call), AnswerPath::kLink,
                                      [this, weak, id](LinkBody body) {
                                        const auto held = weak.lock();
                                        if (held && held->calls.contains(id)) {
                                          SendAnswer(held, id, std::move(body));
                                        }
                                      });
}

// Small frames leave at once; the bodies of large answers wait for the link.
void LinkHub::SendAnswer(const IncomingPointer& peer,
                         CallId id,
                         LinkBody body) {
  if (auto* answer = std::get_if<GateAnswer>(&body);
      answer != nullptr && answer->body.size() > PacedSender::kSmallBytes) {
    GatePart part{std::exchange(answer->body, {}), answer->last};
    answer->last = false;
    peer->link->Send({id, std::move(body)});
    Queue(peer, id, std::move(part));
    return;
  }
  auto* part = std::get_if<GatePart>(&body);
  const bool follows = peer->queued.contains(id);
  if (part != nullptr &&
      (follows || part->body.size() > PacedSender::kSmallBytes)) {
    Queue(peer, id, std::move(*part));
    return;
  }
  if (follows) {
    // The answer broke off: what still waits of it is of no use.
    peer->queued.erase(id);
  }
  if (IsLast(body)) {
    peer->calls.erase(id);
  }
  init_.sender->OnSent(peer->link->Send({id, std::move(body)}));
}

void LinkHub::Queue(const IncomingPointer& peer, CallId id, GatePart part) {
  peer->queued.insert(id);
  const std::weak_ptr<Incoming> weak = peer;
  init_.sender->Queue(std::move(part.body), [weak, id, ends = part.last](
                                                std::string piece, bool whole) {
    const auto held = weak.lock();
    if (!held || !held->queued.contains(id)) {
      return false;
    }
    const bool last = ends && whole;
    if (last) {
      held->queued.erase(id);
      held->calls.erase(id);
    }
    held->link->Send({id, GatePart{std::move(piece), last}});
    return true;
  });
}

void LinkHub::DropIncoming(const IncomingPointer& peer, std::string_view why) {
  Log(LogLevel::kInfo, kPart, "A peer's link has closed.",
      {{"peer", peer->name}, {"error", why}, {"calls", peer->calls.size()}});
  incoming_.erase(peer);
  peer->queued.clear();
  for (const auto& [id, at_gate] : std::exchange(peer->calls, {})) {
    init_.gate->Cancel(at_gate);
  }
}

void LinkHub::Sync() {
  const auto& entries = init_.member_registry->entries();
  const std::string own_name = init_.self().member.name;
  for (auto it = outgoing_.begin(); it != outgoing_.end();) {
    const auto entry = entries.find(it->first);
    const bool moved =
        entry == entries.end() ||
        entry->second.record.member.peer_address != it->second->address;
    if (moved) {
      const OutgoingPointer peer = it->second;
      it = outgoing_.erase(it);
      Shut(*peer);
      init_.member_registry->SetLinked(peer->name, false, SteadyNow());
      init_.on_down(peer->name);
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
      Dial(peer);
    }
  }
}

void LinkHub::Dial(const OutgoingPointer& peer) {
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
      asio::error_code ignored;  // The attempt is given up.
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
    DialLater(peer);
    return;
  }
  peer->link = std::make_shared<Link>(std::move(peer->socket), &deltas_);
  peer->greeted = false;
  peer->watch.OnOpened(SteadyNow());
  peer->link->Open(
      {[this, peer](LinkFrame frame) {
         OnOutgoingFrame(peer, std::move(frame));
       },
       [this, peer](std::string_view why) { OnOutgoingClosed(peer, why); }});
  peer->link->Send(Hello());
}

LinkFrame LinkHub::Hello() const {
  return {0, LinkHello{init_.self(), init_.configuration()}};
}

void LinkHub::OnOutgoingFrame(const OutgoingPointer& peer, LinkFrame frame) {
  peer->watch.OnFrame();
  if (frame.call != 0) {
    if (IsLast(frame.body)) {
      peer->calls.erase(frame.call);
    }
    init_.on_answer(peer->name, std::move(frame));
    return;
  }
  std::visit(
      Overload{
          [&](const LinkHello& hello) { OnOutgoingHello(peer, hello); },
          [&](const LinkPong& pong) { init_.on_load(peer->name, pong.load); },
          [&](const LinkMember& member) { init_.on_record(member.record); },
          [&](const LinkConfiguration& configuration) {
            init_.on_configuration(configuration.delta);
          },
          [](const auto&) {}},
      frame.body);
}

void LinkHub::OnOutgoingHello(const OutgoingPointer& peer,
                              const LinkHello& hello) {
  const std::string& name = hello.self.member.name;
  if (name != peer->name) {
    Log(LogLevel::kWarning, kPart, "Another node has the address.",
        {{"expected", peer->name}, {"found", name}});
    init_.on_record(hello.self);
    peer->link->Close();
    OnOutgoingClosed(peer, "another node has the address");
    return;
  }
  peer->greeted = true;
  peer->failures = 0;
  Log(LogLevel::kInfo, kPart, "A link is open.",
      {{"peer", name}, {"generation", hello.configuration.generation}});
  init_.on_record(hello.self);
  init_.member_registry->SetLinked(name, true, SteadyNow());
  init_.on_load(name, {{}, hello.configuration});
}

void LinkHub::OnOutgoingClosed(const OutgoingPointer& peer,
                               std::string_view why) {
  if (peer->closed) {
    return;
  }
  Log(LogLevel::kWarning, kPart, "A link is lost.",
      {{"peer", peer->name}, {"error", why}, {"calls", peer->calls.size()}});
  peer->link.reset();
  peer->greeted = false;
  peer->calls.clear();
  init_.member_registry->SetLinked(peer->name, false, SteadyNow());
  init_.on_down(peer->name);
  DialLater(peer);
}

void LinkHub::DialLater(const OutgoingPointer& peer) {
  const unsigned doublings = std::min(peer->failures, kMaxRedialDoublings);
  const Duration wait =
      std::min(kFirstRedial * (1U << doublings), kLongestRedial);
  ++peer->failures;
  peer->timer.expires_after(random_.Around(wait));
  peer->timer.async_wait([this, peer](const asio::error_code& error) {
    if (!error && !peer->closed) {
      Dial(peer);
    }
  });
}

void LinkHub::Shut(Outgoing& peer) {
  peer.closed = true;
  peer.timer.cancel();
  asio::error_code ignored;  // It is given up either way.
  peer.socket.close(ignored);
  if (peer.link) {
    peer.link->Close();
    peer.link.reset();
  }
}

bool LinkHub::Send(std::string_view member, const LinkFrame& frame) {
  const auto found = outgoing_.find(member);
  if (found == outgoing_.end() || !found->second->greeted) {
    return false;
  }
  Outgoing& peer = *found->second;
  if (std::holds_alternative<GateCall>(frame.body)) {
    peer.calls.insert(frame.call);
  } else if (std::holds_alternative<LinkCancel>(frame.body)) {
    peer.calls.erase(frame.call);
  }
  init_.sender->OnSent(peer.link->Send(frame));
  return true;
}

void LinkHub::Announce() {
  const LinkFrame frame{0, LinkMember{init_.self()}};
  for (const auto& [name, peer] : outgoing_) {
    if (peer->greeted) {
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

std::size_t LinkHub::open_links() const {
  return static_cast<std::size_t>(
      std::count_if(outgoing_.begin(), outgoing_.end(),
                    [](const auto& entry) { return entry.second->greeted; }));
}

void LinkHub::Probe(Time now) {
  const bool stood_still = now - last_probe_ > kStoodStill;
  last_probe_ = now;
  for (const auto& [name, peer] : std::map(outgoing_)) {
    if (stood_still) {
      peer->watch.OnStoodStill(now);
    }
    if (peer->link) {
      ProbeOutgoing(peer, now);
    }
  }
  const Duration longest = LongestSilence(outgoing_.size());
  for (const auto& peer : std::set(incoming_)) {
    if (!stood_still && now - peer->link->last_heard() > longest) {
      peer->link->Close();
      DropIncoming(peer, "silent");
    }
  }
}

void LinkHub::ProbeOutgoing(const OutgoingPointer& peer, Time now) {
  switch (peer->watch.Check(
      {peer->link->last_heard(), !peer->calls.empty(), outgoing_.size()},
      now)) {
    case LinkVerdict::kFine:
      break;
    case LinkVerdict::kProbe:
      peer->link->Send({0, LinkPing{}});
      break;
    case LinkVerdict::kBroken:
      peer->link->Close();
      OnOutgoingClosed(peer, "no answer to a probe");
      TellSuspicion(peer->name);
      break;
  }
}

// Others may have calls under way there, or send some before their own probes
// are due.
void LinkHub::TellSuspicion(std::string_view member) {
  const LinkFrame frame{0, LinkSuspicion{std::string(member)}};
  for (const auto& [name, peer] : outgoing_) {
    if (peer->greeted) {
      peer->link->Send(frame);
    }
  }
}

void LinkHub::ScheduleProbe() {
  probe_timer_.expires_after(kProbeInterval);
  probe_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Probe(SteadyNow());
      ScheduleProbe();
    }
  });
}

}  // namespace verbenastile
