// Guards against a leaving that is acknowledged and forgotten with the process:
// its instance is sent requests again by the next one (rule DRAIN, review/8).
#include <atomic>

#include "mesh_support.h"
#include "sidecar_support.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;

// A peer that the sidecar is linked to, on a thread. It confirms that the
// instance leaves if it `confirms`, and reports each record that says so.
struct PlayedPeer {
  PlayedPeer(RunningSidecar& node, bool confirms) {
    PlayedNode introduction(RawConnection::ConnectTo(node.io, node.links));
    MemberRecord record;
    record.member.name = "played";
    record.member.incarnation = 1;
    record.member.peer_address = listener.address();
    introduction.Send({0, LinkHello{record, {}}});
    played = std::make_unique<PlayedNode>(listener.Accept());
    played->Send({0, LinkHello{record, {}}});
    thread = std::thread([this, confirms] {
      while (auto frame = played->TryRead()) {
        // The sidecar pings once it has taken the link for open.
        is_linked = is_linked || std::holds_alternative<LinkPing>(frame->body);
        const auto* member = std::get_if<LinkMember>(&frame->body);
        if (member != nullptr && member->record.instance_leaving) {
          ++leaving_records;
          if (confirms) {
            played->Send({0, LinkMemberKnown{member->record.sequence}});
          }
        }
      }
    });
    while (!is_linked) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  ~PlayedPeer() { thread.join(); }

  RawListener listener;
  std::unique_ptr<PlayedNode> played;
  std::atomic<bool> is_linked = false;
  std::atomic<int> leaving_records = 0;
  std::thread thread;
};

SCENARIO("a leaving is acknowledged once somebody else knows it") {
  const bool deregisters = GENERATE(true, false);
  CAPTURE(deregisters);
  const auto leave = [&](RunningSidecar& node, int sequence) {
    return deregisters ? node.Deregister()
                       : node.Heartbeat("draining", sequence);
  };
  GIVEN("a store that is silent, and no peers") {
    RunningSidecar node;
    REQUIRE(IsAcknowledged(node.Heartbeat("ready", 1)));
    CHECK_FALSE(IsAcknowledged(leave(node, 2)));
    THEN("it is not acknowledged when it is repeated either") {
      CHECK_FALSE(IsAcknowledged(leave(node, 3)));
    }
  }
  GIVEN("a peer that confirms it") {
    std::unique_ptr<PlayedPeer> peer;
    RunningSidecar node;
    REQUIRE(IsAcknowledged(node.Heartbeat("ready", 1)));
    peer = std::make_unique<PlayedPeer>(node, true);
    CHECK(IsAcknowledged(leave(node, 2)));
    CHECK(peer->leaving_records >= 1);
    CHECK(IsAcknowledged(leave(node, 3)));
  }
  GIVEN("a peer that does not answer") {
    std::unique_ptr<PlayedPeer> peer;
    RunningSidecar node;
    REQUIRE(IsAcknowledged(node.Heartbeat("ready", 1)));
    peer = std::make_unique<PlayedPeer>(node, false);
    CHECK_FALSE(IsAcknowledged(leave(node, 2)));
  }
}

SCENARIO("a process that starts hears from peers what its instance said") {
  std::unique_ptr<PlayedNode> peer;
  RunningSidecar node;
  REQUIRE(IsAcknowledged(node.Heartbeat("ready", 1)));
  peer = std::make_unique<PlayedNode>(node.io, node.links);
  peer->Send({0, LinkInstanceNotice{{"i-1", std::nullopt, true}}});
  const auto next_record = [&]() -> std::optional<MemberRecord> {
    while (auto frame = peer->TryRead()) {
      if (const auto* member = std::get_if<LinkMember>(&frame->body)) {
        return member->record;
      }
    }
    return std::nullopt;
  };
  const auto record = next_record();
  REQUIRE(record);
  CHECK(record->instance == "i-1");
  CHECK(record->instance_leaving);
  CHECK_FALSE(record->member.serving);
}

// What a peer remembers of the process before, on the link itself.
SCENARIO("a node that links anew is told what its instance said before") {
  Mesh mesh;
  mesh.far_loop.Call([&] {
    mesh.far->instance_notice = InstanceNotice{"i-1", 3.0, true, 1'000};
    return 0;
  });
  PlayedNode node(mesh.client_io, mesh.far->record.member.peer_address);
  while (auto frame = node.TryRead()) {
    if (const auto* heard = std::get_if<LinkInstanceNotice>(&frame->body)) {
      CHECK(heard->notice == InstanceNotice{"i-1", 3.0, true, 1'000});
      SUCCEED("it is told");
      break;
    }
  }
  WHEN("it says that its instance leaves") {
    MemberRecord record;
    record.member.name = "played";
    record.member.incarnation = 1;
    record.sequence = 9;
    record.instance_leaving = true;
    record.wants_confirmation = true;
    node.Send({0, LinkMember{record}});
    THEN("that is confirmed") {
      std::optional<std::uint64_t> known;
      while (auto frame = node.TryRead()) {
        if (const auto* answer = std::get_if<LinkMemberKnown>(&frame->body)) {
          known = answer->sequence;
          break;
        }
      }
      CHECK(known == 9);
    }
  }
}

}  // namespace
}  // namespace verbenastile
