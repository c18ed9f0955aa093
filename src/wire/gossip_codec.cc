#include "wire/gossip_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <fmt/format.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <asio/ip/address.hpp>
#include <limits>

#include "wire/gossip.capnp.h"

namespace verbenastile {
namespace {

// Limit on the words read while decoding one datagram, which also bounds the
// size that it may unpack to.
constexpr std::uint64_t kMaxTraversalWords = 4'096;
constexpr int kNestingLimit = 6;
constexpr std::size_t kScratchWords = 512;
constexpr std::size_t kMaxLabels = 255;

using Kind = GossipWireError::Kind;

GossipWireError OutOfRange(std::string reason) {
  return {Kind::kOutOfRange, std::move(reason)};
}

// Assigns the indexes by which updates refer to failure domains, regions and
// services.
class LabelTable {
 public:
  std::uint8_t IndexOf(const std::string& label) {
    const auto known = std::find(labels_.begin(), labels_.end(), label);
    if (known == labels_.end()) {
      labels_.push_back(label);
      return static_cast<std::uint8_t>(labels_.size() - 1);
    }
    return static_cast<std::uint8_t>(known - labels_.begin());
  }
  const std::vector<std::string>& labels() const { return labels_; }

 private:
  std::vector<std::string> labels_;
};

// An IP address as encoded on the wire: either an IPv4 number or the bytes of
// an IPv6 address.
struct WireAddress {
  std::uint32_t ip4 = 0;
  std::vector<std::byte> ip6;
};

WireAddress ToWire(const SocketAddress& address) {
  WireAddress wire;
  asio::error_code error;
  const auto ip = asio::ip::make_address(address.ip, error);
  if (error) {
    return wire;
  }
  if (ip.is_v4()) {
    wire.ip4 = ip.to_v4().to_uint();
    return wire;
  }
  for (const unsigned char byte : ip.to_v6().to_bytes()) {
    wire.ip6.push_back(static_cast<std::byte>(byte));
  }
  return wire;
}

capnp::Data::Reader ToData(const WireAddress& address) {
  return {reinterpret_cast<const kj::byte*>(address.ip6.data()),
          address.ip6.size()};
}

std::string IpToString(std::uint32_t ip4, capnp::Data::Reader ip6) {
  if (ip6.size() == 0) {
    return ip4 == 0 ? std::string() : asio::ip::address_v4(ip4).to_string();
  }
  asio::ip::address_v6::bytes_type bytes{};
  if (ip6.size() != bytes.size()) {
    return {};
  }
  std::copy(ip6.begin(), ip6.end(), bytes.begin());
  return asio::ip::address_v6(bytes).to_string();
}

void WriteMemberFields(const Member& member,
                       LabelTable& labels,
                       wire::Update::Builder out) {
  out.setFailureDomain(labels.IndexOf(member.failure_domain));
  out.setRegion(labels.IndexOf(member.region));
  out.setService(labels.IndexOf(member.service));
  out.setStarting(!member.serving);
  out.setSlots(member.slots);
  out.setConnections(member.connections);
  out.setPeersPort(member.peers.port);
  out.setControlPort(member.control.port);
  const WireAddress control = ToWire(member.control);
  out.setControlIp4(control.ip4);
  if (!control.ip6.empty()) {
    out.setControlIp6(ToData(control));
  }
  if (member.peers.ip == member.control.ip) {
    return;
  }
  const WireAddress peers = ToWire(member.peers);
  out.setPeersIp4(peers.ip4);
  if (!peers.ip6.empty()) {
    out.setPeersIp6(ToData(peers));
  }
}

void WriteUpdate(const MemberUpdate& update,
                 LabelTable& labels,
                 wire::Update::Builder out) {
  out.setName(update.member.name.c_str());
  out.setIncarnation(update.member.incarnation);
  out.setState(static_cast<std::uint8_t>(update.member.state));
  out.setWhole(update.whole);
  out.setAccuser(update.accuser);
  if (update.whole) {
    WriteMemberFields(update.member, labels, out);
  }
}

void WriteMessage(const GossipMessage& message, wire::Gossip::Builder out) {
  out.setCluster(message.cluster);
  out.setKind(static_cast<std::uint8_t>(message.kind));
  out.setSequence(message.sequence);
  out.setIncarnation(message.incarnation);
  out.setRoot(message.root);
  out.setBucketSet(message.bucket_set);
  out.setSender(message.sender.c_str());
  if (!message.target.empty()) {
    out.setTarget(message.target.c_str());
  }
  if (message.target_address.port != 0) {
    const WireAddress target = ToWire(message.target_address);
    out.setTargetPort(message.target_address.port);
    out.setTargetIp4(target.ip4);
    if (!target.ip6.empty()) {
      out.setTargetIp6(ToData(target));
    }
  }
  if (!message.digests.empty()) {
    auto digests =
        out.initDigests(static_cast<unsigned>(message.digests.size()));
    for (unsigned i = 0; i < digests.size(); ++i) {
      digests.set(i, message.digests[i]);
    }
  }
  if (message.updates.empty()) {
    return;
  }
  LabelTable table;
  auto updates = out.initUpdates(static_cast<unsigned>(message.updates.size()));
  for (unsigned i = 0; i < updates.size(); ++i) {
    WriteUpdate(message.updates[i], table, updates[i]);
  }
  if (!table.labels().empty()) {
    auto labels = out.initLabels(static_cast<unsigned>(table.labels().size()));
    for (unsigned i = 0; i < labels.size(); ++i) {
      labels.set(i, table.labels()[i].c_str());
    }
  }
}

bool IsValidName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxGossipNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char c) { return c > 0x20 && c < 0x7f; });
}

std::string_view ToStringView(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

leaf::result<std::string> ReadLabel(capnp::List<capnp::Text>::Reader labels,
                                    std::uint8_t index) {
  if (index >= labels.size()) {
    return leaf::new_error(OutOfRange("label index out of range"));
  }
  const auto label = ToStringView(labels[index]);
  if (!IsValidName(label)) {
    return leaf::new_error(OutOfRange("invalid label"));
  }
  return std::string(label);
}

leaf::result<void> ReadMemberFields(wire::Update::Reader in,
                                    capnp::List<capnp::Text>::Reader labels,
                                    Member& member) {
  BOOST_LEAF_ASSIGN(member.failure_domain,
                    ReadLabel(labels, in.getFailureDomain()));
  BOOST_LEAF_ASSIGN(member.region, ReadLabel(labels, in.getRegion()));
  BOOST_LEAF_ASSIGN(member.service, ReadLabel(labels, in.getService()));
  member.serving = !in.getStarting();
  member.slots = in.getSlots();
  member.connections = in.getConnections();
  member.control = {IpToString(in.getControlIp4(), in.getControlIp6()),
                    in.getControlPort()};
  member.peers = {IpToString(in.getPeersIp4(), in.getPeersIp6()),
                  in.getPeersPort()};
  if (member.peers.ip.empty()) {
    member.peers.ip = member.control.ip;
  }
  if (member.control.ip.empty() || member.control.port == 0 ||
      member.peers.port == 0) {
    return leaf::new_error(
        OutOfRange("missing or invalid address of a member"));
  }
  return {};
}

leaf::result<MemberUpdate> ReadUpdate(wire::Update::Reader in,
                                      capnp::List<capnp::Text>::Reader labels) {
  MemberUpdate update;
  const auto name = ToStringView(in.getName());
  if (!IsValidName(name)) {
    return leaf::new_error(OutOfRange("invalid member name"));
  }
  if (in.getState() > static_cast<std::uint8_t>(MemberState::kLeft)) {
    return leaf::new_error(OutOfRange("unknown member state"));
  }
  update.member.name = name;
  update.member.incarnation = in.getIncarnation();
  update.member.state = static_cast<MemberState>(in.getState());
  update.whole = in.getWhole();
  update.accuser = in.getAccuser();
  if (update.whole) {
    BOOST_LEAF_CHECK(ReadMemberFields(in, labels, update.member));
  }
  return update;
}

leaf::result<void> ReadUpdates(wire::Gossip::Reader in,
                               GossipMessage& message) {
  const auto updates = in.getUpdates();
  const auto labels = in.getLabels();
  if (updates.size() > kMaxUpdates || labels.size() > kMaxLabels) {
    return leaf::new_error(OutOfRange("too many updates or labels"));
  }
  message.updates.reserve(updates.size());
  for (const auto entry : updates) {
    BOOST_LEAF_AUTO(update, ReadUpdate(entry, labels));
    message.updates.push_back(std::move(update));
  }
  return {};
}

bool IsValidDigestCount(GossipKind kind, std::size_t count) {
  switch (kind) {
    case GossipKind::kSyncDigests:
      return count == kSyncBuckets;
    case GossipKind::kSyncMembers:
    case GossipKind::kSyncWant:
      return count <= kMaxDigests;
    default:
      return count == 0;
  }
}

leaf::result<void> ReadDigests(wire::Gossip::Reader in,
                               GossipMessage& message) {
  const auto digests = in.getDigests();
  if (!IsValidDigestCount(message.kind, digests.size())) {
    return leaf::new_error(
        OutOfRange("invalid number of digests for this message kind"));
  }
  message.digests.reserve(digests.size());
  for (const std::uint32_t digest : digests) {
    message.digests.push_back(digest);
  }
  return {};
}

leaf::result<GossipMessage> ReadMessage(wire::Gossip::Reader in,
                                        std::uint32_t cluster) {
  GossipMessage message;
  message.cluster = in.getCluster();
  if (message.cluster != cluster) {
    return leaf::new_error(
        GossipWireError{Kind::kOtherCluster, "cluster tag of another fleet"});
  }
  if (in.getKind() > static_cast<std::uint8_t>(kLastGossipKind)) {
    return leaf::new_error(OutOfRange("unknown message kind"));
  }
  message.kind = static_cast<GossipKind>(in.getKind());
  message.sequence = in.getSequence();
  message.incarnation = in.getIncarnation();
  message.root = in.getRoot();
  message.bucket_set = in.getBucketSet();
  message.sender = ToStringView(in.getSender());
  message.target = ToStringView(in.getTarget());
  if (!IsValidName(message.sender) ||
      (!message.target.empty() && !IsValidName(message.target))) {
    return leaf::new_error(OutOfRange("invalid name of the sender or target"));
  }
  message.target_address = {IpToString(in.getTargetIp4(), in.getTargetIp6()),
                            in.getTargetPort()};
  if (message.kind == GossipKind::kPingRequest &&
      (message.target.empty() || message.target_address.ip.empty() ||
       message.target_address.port == 0)) {
    return leaf::new_error(
        OutOfRange("missing or invalid address of the target"));
  }
  BOOST_LEAF_CHECK(ReadDigests(in, message));
  BOOST_LEAF_CHECK(ReadUpdates(in, message));
  return message;
}

}  // namespace

leaf::result<std::vector<std::byte>> EncodeGossip(
    const GossipMessage& message) {
  if (message.updates.size() > kMaxUpdates) {
    return leaf::new_error(
        GossipWireError{Kind::kOversize, "too many updates"});
  }
  capnp::word scratch[kScratchWords] = {};
  capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, kScratchWords));
  WriteMessage(message, builder.initRoot<wire::Gossip>());
  kj::VectorOutputStream out(kMaxDatagramBytes);
  capnp::writePackedMessage(out, builder);
  const auto bytes = out.getArray();
  if (bytes.size() > kMaxDatagramBytes) {
    return leaf::new_error(GossipWireError{
        Kind::kOversize, fmt::format("{} bytes", bytes.size())});
  }
  const auto* first = reinterpret_cast<const std::byte*>(bytes.begin());
  return std::vector<std::byte>(first, first + bytes.size());
}

leaf::result<GossipMessage> DecodeGossip(std::span<const std::byte> datagram,
                                         std::uint32_t cluster) {
  if (datagram.size() > kMaxDatagramBytes) {
    return leaf::new_error(GossipWireError{
        Kind::kOversize, fmt::format("{} bytes", datagram.size())});
  }
  capnp::ReaderOptions limits;
  limits.traversalLimitInWords = kMaxTraversalWords;
  limits.nestingLimit = kNestingLimit;
  try {
    kj::ArrayInputStream in(kj::arrayPtr(
        reinterpret_cast<const kj::byte*>(datagram.data()), datagram.size()));
    capnp::PackedMessageReader reader(in, limits);
    return ReadMessage(reader.getRoot<wire::Gossip>(), cluster);
  } catch (const kj::Exception& error) {
    return leaf::new_error(GossipWireError{
        Kind::kMalformed, std::string(error.getDescription().cStr())});
  }
}

}  // namespace verbenastile
