// Manages the links between this node and all other members: connects to each
// known member, accepts connections from the others, detects failed links and
// reconnects them.
#ifndef MESH_LINK_HUB_H_
#define MESH_LINK_HUB_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "core/link_monitor.h"
#include "core/member_registry.h"
#include "mesh/inbound_proxy.h"
#include "mesh/link.h"
#include "mesh/paced_sender.h"

namespace verbenastile {

class LinkHub {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    SocketAddress address;  // Where links are accepted.
    MemberRegistry* member_registry = nullptr;
    InboundProxy* gate = nullptr;
    std::uint64_t seed = 0;
    PacedSender* sender = nullptr;
    // The current member record of this node.
    std::function<MemberRecord()> self;
    // The active configuration of this node.
    std::function<PeerConfiguration()> configuration;
    // Returns the delta from the configuration that a peer holds to the active
    // one; null if there is nothing to send.
    std::function<const ConfigurationDelta*(const HeldConfiguration&)>
        configuration_delta;
    // A response frame to a call that this node sent to the member.
    std::function<void(std::string_view member, LinkFrame)> on_response;
    // The link to the member failed; no response to its calls will come. The
    // member has not received the calls in `unsent`.
    std::function<void(std::string_view member,
                       const std::vector<CallId>& unsent)>
        on_link_down;
    // The member does not answer. Responses to its calls may still come.
    std::function<void(std::string_view member)> on_link_silent;
    // The member connected, was reached, or reported its load and its active
    // configuration.
    std::function<void(std::string_view member, const GateLoad&)> on_load;
    // A peer sent the member record of itself.
    std::function<void(const MemberRecord&)> on_member_record;
    // What is known of the instance of a member that has just connected; empty:
    // nothing.
    std::function<std::optional<InstanceNotice>(std::string_view member)>
        instance_notice;
    // The member has heard this of the instance beside this node.
    std::function<void(std::string_view member, const InstanceNotice&)>
        on_instance_notice;
    // The member knows the record of this node with that sequence.
    std::function<void(std::string_view member, std::uint64_t sequence)>
        on_member_known;
    // What to tell the member that asks for the members of the fleet.
    std::function<LinkMembers(std::string_view member)> members;
    // The member told the members of the fleet.
    std::function<void(std::string_view member, const LinkMembers&)> on_members;
    // What a node that has just connected should know of requests that ended
    // instances.
    std::function<std::vector<CrashEvidence>()> crash_evidence;
    // What the member knows of requests that ended instances.
    std::function<void(std::string_view member,
                       const std::vector<CrashEvidence>&)>
        on_crash_evidence;
    // The member asks for tokens of the groups that this node coordinates.
    std::function<std::vector<QuotaLoan>(std::string_view member,
                                         const std::vector<QuotaNeed>&)>
        on_quota_needs;
    // A coordinator lent tokens.
    std::function<void(std::string_view member, const std::vector<QuotaLoan>&)>
        on_quota_loans;
    // The member asks for this node's part of the quotas.
    std::function<QuotaPartGrant(std::string_view member,
                                 const QuotaPartRequest&)>
        on_quota_part_request;
    // The member answered a request for its part.
    std::function<void(std::string_view member, const QuotaPartGrant&)>
        on_quota_part_grant;
    // The member should be asked again for its part.
    std::function<void(std::string_view member)> on_quota_part_changed;
    // What the member knows of roll-outs.
    std::function<void(std::string_view member, const LinkRollouts&)>
        on_rollouts;
    // What a node that has just connected, or asks, should know of roll-outs;
    // empty: nothing can be said yet.
    std::function<std::optional<LinkRollouts>()> rollouts;
    // A peer answered a request for its configuration.
    std::function<void(const ConfigurationDelta&)> on_configuration;
  };

  explicit LinkHub(Init init);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  // Listens on the address. Returns an error message, empty on success.
  std::string Open();
  // Connects to new members, and closes the links to members that were removed
  // or have another address.
  void UpdateLinks();
  // Returns false if there is no open link to the member.
  bool Send(std::string_view member, const LinkFrame& frame);
  // Whether new calls are better sent to other members: see `LinkMonitor`.
  bool IsDoubtful(std::string_view member) const;
  // A message to the member got no answer: its link is probed soon.
  void SuspectSilence(std::string_view member);
  // Sends the current member record of this node on all links.
  void AnnounceSelf();
  // Sends the load and the active configuration of this node on all incoming
  // links.
  void AnnounceConfiguration();
  // Sends the evidence to each linked member. One whose link is broken gets
  // what is shared with new links.
  void AnnounceCrashEvidence(std::vector<CrashEvidence> evidence);
  // Sends the reports to each linked member.
  void AnnounceRollouts(std::vector<RolloutReport> reports);
  void Close();

  // The number of outgoing links whose handshake is complete.
  std::size_t open_links() const;
  // The members that have an open link to this node.
  std::set<std::string, std::less<>> incoming_members() const;

 private:
  using Tcp = asio::ip::tcp;

  // A link that this node opens, and reopens after a failure.
  struct Outgoing {
    explicit Outgoing(asio::io_context& io) : socket(io), timer(io) {}

    std::string name;
    SocketAddress address;
    Tcp::socket socket;  // Used until the connection is established.
    asio::steady_timer timer;
    std::shared_ptr<Link> link;
    bool handshake_done = false;  // The hello of the member was received.
    bool closed = false;
    unsigned failures = 0;  // Since the last handshake.
    LinkMonitor watch;
    bool silent = false;                    // A probe was not answered in time.
    std::set<CallId> calls;                 // Without a complete response.
    std::set<CallId> non_idempotent_calls;  // Part of `calls`.
  };
  using OutgoingPointer = std::shared_ptr<Outgoing>;

  // A link that another node opened.
  struct Incoming {
    std::shared_ptr<Link> link;
    std::uint64_t number = 0;  // In the order of opening.
    std::string name;          // Empty until the hello of the peer.
    // The peer sent more than its hello. It gives up a link at once that it
    // opened to another node's former address.
    bool in_use = false;
    std::map<CallId, CallId> calls;  // The gate's IDs by the peer's.
    std::set<CallId> queued;         // Calls with data in the paced sender.
    // Calls that start once all frames that were read with them are handled.
    std::vector<std::pair<CallId, GateCall>> arrived;
  };
  using IncomingPointer = std::shared_ptr<Incoming>;

  void Accept();
  void AddIncoming(Tcp::socket socket);
  void OnIncomingFrame(const IncomingPointer& peer, LinkFrame frame);
  void OnIncomingCall(const IncomingPointer& peer, CallId id, GateCall call);
  void OnIncomingCancel(const IncomingPointer& peer, CallId id);
  void StartArrived(const IncomingPointer& peer);
  void DropArrived(const IncomingPointer& peer);
  void SendResponse(const IncomingPointer& peer, CallId id, LinkBody body);
  void Enqueue(const IncomingPointer& peer, CallId id, GateResponseChunk chunk);
  void DropIncoming(const IncomingPointer& peer, std::string_view reason);
  void DropEarlierLinks(const IncomingPointer& peer);
  void Connect(const OutgoingPointer& peer);
  void OnConnected(const OutgoingPointer& peer, const asio::error_code& error);
  void OnOutgoingFrame(const OutgoingPointer& peer, LinkFrame frame);
  void RejectInvalidResponse(Outgoing& peer, LinkFrame& frame);
  void OnOutgoingHello(const OutgoingPointer& peer, const LinkHello& hello);
  void OnOutgoingClosed(const OutgoingPointer& peer, std::string_view reason);
  static std::vector<CallId> UnsentCalls(const Outgoing& peer);
  void ScheduleReconnect(const OutgoingPointer& peer);
  void Discard(Outgoing& peer);
  LinkFrame HelloFrame() const;
  static void ConfirmRecord(Link& link, const MemberRecord& record);
  void OnInstanceFrame(std::string_view member, const LinkFrame& frame) const;
  void ShareInstanceNotice(Link& link, std::string_view member) const;
  void ShareCrashEvidence(Link& link) const;
  void ShareRollouts(Link& link) const;
  void SendToAll(const LinkFrame& frame);
  void CheckLinks(Time now);
  void CheckOutgoing(const OutgoingPointer& peer, Time now);
  void OnOutgoingSilent(const OutgoingPointer& peer);
  void BroadcastSuspicion(std::string_view member);
  void ScheduleCheck();

  Init init_;
  SmallTextDeltas deltas_;
  Tcp::acceptor acceptor_;
  asio::steady_timer check_timer_;
  Random random_;
  std::map<std::string, OutgoingPointer, std::less<>> outgoing_;
  std::set<IncomingPointer> incoming_;
  std::uint64_t last_incoming_ = 0;
  Time last_check_;
  // Timers that have expired run their handlers although they are cancelled;
  // those that find this gone do nothing.
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

}  // namespace verbenastile

#endif  // MESH_LINK_HUB_H_
