// The links of this node to all others: opened to each known member, taken
// from each that opens one, probed, and opened again when they break.
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

#include "base/random.h"
#include "core/link_watch.h"
#include "core/member_registry.h"
#include "mesh/gate.h"
#include "mesh/link.h"
#include "mesh/paced_sender.h"

namespace verbenastile {

class LinkHub {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    SocketAddress address;  // Where links are taken.
    MemberRegistry* member_registry = nullptr;
    Gate* gate = nullptr;
    std::uint64_t seed = 0;
    PacedSender* sender = nullptr;
    // What this node says of itself.
    std::function<MemberRecord()> self;
    // What is in force here.
    std::function<PeerConfiguration()> configuration;
    // What leads a peer from what it holds to what is in force here; null when
    // there is nothing to send.
    std::function<const ConfigurationDelta*(const HeldConfiguration&)>
        configuration_delta;
    // Frames of answers to calls that this node sent to the member.
    std::function<void(std::string_view member, LinkFrame)> on_answer;
    // The link to the member broke: its calls have no answer.
    std::function<void(std::string_view member)> on_down;
    // The member opened a link or was reached, or says what it has in force.
    std::function<void(std::string_view member, const GateLoad&)> on_load;
    std::function<void(const MemberRecord&)> on_record;
    std::function<void(const ConfigurationDelta&)> on_configuration;
  };

  explicit LinkHub(Init init);
  ~LinkHub();
  LinkHub(const LinkHub&) = delete;
  LinkHub& operator=(const LinkHub&) = delete;

  // Returns an empty text, or why the address cannot be listened on.
  std::string Open();
  // Opens links to members that became known, drops those of forgotten ones.
  void Sync();
  // False when there is no open link to the member.
  bool Send(std::string_view member, const LinkFrame& frame);
  // Tells every linked node what this one says of itself now.
  void Announce();
  // Tells those that opened a link to this node what is in force here now.
  void AnnounceConfiguration();
  void Close();

  std::size_t open_links() const;

 private:
  using Tcp = asio::ip::tcp;

  // A link that this node opens and opens again.
  struct Outgoing {
    explicit Outgoing(asio::io_context& io) : socket(io), timer(io) {}

    std::string name;
    SocketAddress address;
    Tcp::socket socket;  // While it connects.
    asio::steady_timer timer;
    std::shared_ptr<Link> link;
    bool greeted = false;  // The member has said who it is.
    bool closed = false;
    unsigned failures = 0;
    LinkWatch watch;
    std::set<CallId> calls;  // Without a whole answer.
  };
  using OutgoingPointer = std::shared_ptr<Outgoing>;

  // A link that another node opened.
  struct Incoming {
    std::shared_ptr<Link> link;
    std::string name;                // Empty until it has said who it is.
    std::map<CallId, CallId> calls;  // The gate's ids by the peer's.
    std::set<CallId> queued;         // Calls whose answers wait for the link.
  };
  using IncomingPointer = std::shared_ptr<Incoming>;

  void Accept();
  void TakeIncoming(Tcp::socket socket);
  void OnIncomingFrame(const IncomingPointer& peer, LinkFrame frame);
  void OnIncomingCall(const IncomingPointer& peer, CallId id, GateCall call);
  void SendAnswer(const IncomingPointer& peer, CallId id, LinkBody body);
  void Queue(const IncomingPointer& peer, CallId id, GatePart part);
  void DropIncoming(const IncomingPointer& peer, std::string_view why);
  void Dial(const OutgoingPointer& peer);
  void OnConnected(const OutgoingPointer& peer, const asio::error_code& error);
  void OnOutgoingFrame(const OutgoingPointer& peer, LinkFrame frame);
  void OnOutgoingHello(const OutgoingPointer& peer, const LinkHello& hello);
  void OnOutgoingClosed(const OutgoingPointer& peer, std::string_view why);
  void DialLater(const OutgoingPointer& peer);
  void Shut(Outgoing& peer);
  LinkFrame Hello() const;
  void Probe(Time now);
  void ProbeOutgoing(const OutgoingPointer& peer, Time now);
  void TellSuspicion(std::string_view member);
  void ScheduleProbe();

  Init init_;
  SmallTextDeltas deltas_;
  Tcp::acceptor acceptor_;
  asio::steady_timer probe_timer_;
  Random random_;
  std::map<std::string, OutgoingPointer, std::less<>> outgoing_;
  std::set<IncomingPointer> incoming_;
  Time last_probe_;
};

}  // namespace verbenastile

#endif  // MESH_LINK_HUB_H_
