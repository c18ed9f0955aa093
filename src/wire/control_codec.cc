#include "wire/control_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

#include "wire/control.capnp.h"

namespace verbenastile {
namespace {

constexpr std::size_t kWordBytes = sizeof(capnp::word);
constexpr int kNestingLimit = 8;
constexpr std::size_t kMaxNameBytes = 200;
constexpr std::size_t kMaxReasonBytes = 4'096;
constexpr std::size_t kMaxKind = 2;

// Thrown for a field that holds an invalid value. `DecodeFrame` converts it to
// a `WireError`.
struct OutOfRange {
  const char* what;
};

std::string ReadText(capnp::Text::Reader text, std::size_t max_bytes) {
  if (text.size() > max_bytes) {
    throw OutOfRange{"text field exceeds its length limit"};
  }
  return {text.cStr(), text.size()};
}

template <typename List>
void CheckCount(const List& list, std::size_t max_count) {
  if (list.size() > max_count) {
    throw OutOfRange{"list exceeds its element limit"};
  }
}

void Write(wire::Version::Builder out, const Version& version) {
  out.setGeneration(version.generation);
  out.setHigh(version.digest.high);
  out.setLow(version.digest.low);
}

Version Read(wire::Version::Reader in) {
  return {in.getGeneration(), {in.getHigh(), in.getLow()}};
}

void Write(wire::Hello::Builder out, const PeerIdentity& peer) {
  out.setName(peer.name);
  out.setFailureDomain(peer.failure_domain);
  out.setIp(peer.control.ip);
  out.setPort(peer.control.port);
}

PeerIdentity Read(wire::Hello::Reader in) {
  const SocketAddress received{ReadText(in.getIp(), kMaxNameBytes),
                               in.getPort()};
  const auto control = ParseSocketAddress(ToString(received));
  if (!control) {
    throw OutOfRange{"invalid socket address in a hello"};
  }
  return {ReadText(in.getName(), kMaxNameBytes),
          ReadText(in.getFailureDomain(), kMaxNameBytes), *control};
}

void Write(wire::Summary::Builder out, const SummaryMessage& message) {
  Write(out.initHeld(), message.held);
  out.setAnswerWanted(message.answer_wanted);
}

SummaryMessage Read(wire::Summary::Reader in) {
  return {Read(in.getHeld()), in.getAnswerWanted()};
}

void Write(wire::Ask::Builder out, const AskMessage& message) {
  out.setForm(static_cast<std::uint8_t>(message.form));
  Write(out.initHeld(), message.held);
  Write(out.initWanted(), message.wanted);
}

AskMessage Read(wire::Ask::Reader in) {
  if (in.getForm() > static_cast<std::uint8_t>(AskMessage::Form::kWhole)) {
    throw OutOfRange{"unknown form in an ask"};
  }
  return {static_cast<AskMessage::Form>(in.getForm()), Read(in.getHeld()),
          Read(in.getWanted())};
}

void Write(capnp::List<wire::Item>::Builder out,
           const std::vector<ItemPointer>& items) {
  for (unsigned index = 0; index < items.size(); ++index) {
    out[index].setKind(static_cast<std::uint8_t>(items[index]->kind));
    out[index].setBody(items[index]->body);
  }
}

std::vector<ItemPointer> Read(capnp::List<wire::Item>::Reader in) {
  CheckCount(in, kMaxSnapshotItems);
  std::vector<ItemPointer> items;
  items.reserve(in.size());
  for (const auto item : in) {
    if (item.getKind() > kMaxKind) {
      throw OutOfRange{"unknown item kind"};
    }
    items.push_back(MakeItem(static_cast<ItemKind>(item.getKind()),
                             ReadText(item.getBody(), kMaxFrameBytes)));
  }
  return items;
}

void Write(wire::Delta::Builder out, const Delta& delta) {
  Write(out.initFrom(), delta.from);
  Write(out.initTo(), delta.to);
  auto splices = out.initSplices(static_cast<unsigned>(delta.splices.size()));
  for (unsigned index = 0; index < delta.splices.size(); ++index) {
    const Splice& splice = delta.splices[index];
    splices[index].setBaseBegin(splice.base_begin);
    splices[index].setBaseCount(splice.base_count);
    if (!splice.items.empty()) {
      Write(
          splices[index].initItems(static_cast<unsigned>(splice.items.size())),
          splice.items);
    }
  }
}

Delta Read(wire::Delta::Reader in) {
  CheckCount(in.getSplices(), kMaxSnapshotItems);
  Delta delta{Read(in.getFrom()), Read(in.getTo()), {}};
  delta.splices.reserve(in.getSplices().size());
  for (const auto splice : in.getSplices()) {
    delta.splices.push_back({splice.getBaseBegin(), splice.getBaseCount(),
                             Read(splice.getItems())});
  }
  return delta;
}

void Write(wire::Digests::Builder out, const DigestsMessage& message) {
  Write(out.initVersion(), message.version);
  auto digests = out.initDigests(static_cast<unsigned>(message.digests.size()));
  for (unsigned index = 0; index < message.digests.size(); ++index) {
    digests[index].setHigh(message.digests[index].high);
    digests[index].setLow(message.digests[index].low);
  }
}

DigestsMessage Read(wire::Digests::Reader in) {
  CheckCount(in.getDigests(), kMaxSnapshotItems);
  DigestsMessage message{Read(in.getVersion()), {}};
  message.digests.reserve(in.getDigests().size());
  for (const auto digest : in.getDigests()) {
    message.digests.push_back({digest.getHigh(), digest.getLow()});
  }
  return message;
}

void Write(wire::ItemsAsk::Builder out, const ItemsAskMessage& message) {
  Write(out.initVersion(), message.version);
  auto indexes = out.initIndexes(static_cast<unsigned>(message.indexes.size()));
  for (unsigned index = 0; index < message.indexes.size(); ++index) {
    indexes.set(index, message.indexes[index]);
  }
}

ItemsAskMessage Read(wire::ItemsAsk::Reader in) {
  CheckCount(in.getIndexes(), kMaxSnapshotItems);
  ItemsAskMessage message{Read(in.getVersion()), {}};
  message.indexes.reserve(in.getIndexes().size());
  for (const std::uint32_t index : in.getIndexes()) {
    message.indexes.push_back(index);
  }
  return message;
}

void Write(wire::Items::Builder out, const ItemsMessage& message) {
  Write(out.initVersion(), message.version);
  Write(out.initItems(static_cast<unsigned>(message.items.size())),
        message.items);
}

ItemsMessage Read(wire::Items::Reader in) {
  return {Read(in.getVersion()), Read(in.getItems())};
}

void Write(wire::Report::Builder out, const ReportMessage& message) {
  const DomainView& view = message.view;
  out.setFailureDomain(view.failure_domain);
  out.setNewest(view.newest);
  out.setNodes(view.nodes);
  auto counts = out.initCounts(static_cast<unsigned>(view.counts.size()));
  unsigned position = 0;
  for (const auto& [generation, nodes] : view.counts) {
    counts[position].setGeneration(generation);
    counts[position++].setNodes(nodes);
  }
  auto laggards = out.initLaggards(static_cast<unsigned>(view.laggards.size()));
  for (unsigned index = 0; index < view.laggards.size(); ++index) {
    laggards[index].setName(view.laggards[index].name);
    laggards[index].setGeneration(view.laggards[index].generation);
  }
  out.setRefusedGeneration(view.refusal.generation);
  if (!view.refusal.reason.empty()) {
    out.setRefusal(view.refusal.reason.substr(0, kMaxReasonBytes));
  }
  out.setRefusedBy(view.refused_by);
  out.setOtherHistory(view.other_history);
}

ReportMessage Read(wire::Report::Reader in) {
  CheckCount(in.getCounts(), kMaxCountedGenerations);
  CheckCount(in.getLaggards(), kMaxNamedLaggards);
  DomainView view;
  view.failure_domain = ReadText(in.getFailureDomain(), kMaxNameBytes);
  view.newest = in.getNewest();
  view.nodes = in.getNodes();
  for (const auto count : in.getCounts()) {
    view.counts[count.getGeneration()] = count.getNodes();
  }
  for (const auto laggard : in.getLaggards()) {
    view.laggards.push_back(
        {ReadText(laggard.getName(), kMaxNameBytes), laggard.getGeneration()});
  }
  view.refusal = {in.getRefusedGeneration(),
                  ReadText(in.getRefusal(), kMaxReasonBytes)};
  view.refused_by = in.getRefusedBy();
  view.other_history = in.getOtherHistory();
  return {std::move(view)};
}

void Write(wire::Contacts::Builder out, const ContactsMessage& message) {
  auto peers = out.initPeers(static_cast<unsigned>(message.peers.size()));
  for (unsigned index = 0; index < message.peers.size(); ++index) {
    Write(peers[index], message.peers[index]);
  }
}

ContactsMessage Read(wire::Contacts::Reader in) {
  CheckCount(in.getPeers(), kMaxSentContacts);
  ContactsMessage message;
  for (const auto peer : in.getPeers()) {
    message.peers.push_back(Read(peer));
  }
  return message;
}

struct MessageWriter {
  wire::Frame::Builder frame;

  void operator()(const SummaryMessage& m) { Write(frame.initSummary(), m); }
  void operator()(const AskMessage& m) { Write(frame.initAsk(), m); }
  void operator()(const Delta& m) { Write(frame.initDelta(), m); }
  void operator()(const DigestsMessage& m) { Write(frame.initDigests(), m); }
  void operator()(const ItemsAskMessage& m) { Write(frame.initItemsAsk(), m); }
  void operator()(const ItemsMessage& m) { Write(frame.initItems(), m); }
  void operator()(const ReportMessage& m) { Write(frame.initReport(), m); }
  void operator()(const ContactsMessage& m) { Write(frame.initContacts(), m); }
};

leaf::result<ControlFrame> ReadFrame(wire::Frame::Reader frame) {
  switch (frame.which()) {
    case wire::Frame::HELLO:
      return ControlFrame(Read(frame.getHello()));
    case wire::Frame::SUMMARY:
      return ControlFrame(DistributionMessage(Read(frame.getSummary())));
    case wire::Frame::ASK:
      return ControlFrame(DistributionMessage(Read(frame.getAsk())));
    case wire::Frame::DELTA:
      return ControlFrame(DistributionMessage(Read(frame.getDelta())));
    case wire::Frame::DIGESTS:
      return ControlFrame(DistributionMessage(Read(frame.getDigests())));
    case wire::Frame::ITEMS_ASK:
      return ControlFrame(DistributionMessage(Read(frame.getItemsAsk())));
    case wire::Frame::ITEMS:
      return ControlFrame(DistributionMessage(Read(frame.getItems())));
    case wire::Frame::REPORT:
      return ControlFrame(DistributionMessage(Read(frame.getReport())));
    case wire::Frame::CONTACTS:
      return ControlFrame(DistributionMessage(Read(frame.getContacts())));
  }
  return leaf::new_error(
      WireError{WireError::Kind::kUnknown, "unknown message type"});
}

WireError ToWireError(const kj::Exception& error) {
  const std::string detail = error.getDescription().cStr();
  const bool is_truncated = detail.find("remature") != std::string::npos;
  return {
      is_truncated ? WireError::Kind::kTruncated : WireError::Kind::kMalformed,
      detail};
}

capnp::ReaderOptions Limits() {
  capnp::ReaderOptions limits;
  limits.traversalLimitInWords = 2 * kMaxFrameBytes / kWordBytes;
  limits.nestingLimit = kNestingLimit;
  return limits;
}

}  // namespace

std::string_view ToString(WireError::Kind kind) {
  switch (kind) {
    case WireError::Kind::kTruncated:
      return "truncated";
    case WireError::Kind::kMalformed:
      return "malformed";
    case WireError::Kind::kUnknown:
      return "unknown";
    case WireError::Kind::kOutOfRange:
      return "out_of_range";
  }
  return "unknown";
}

std::vector<std::uint8_t> EncodeFrame(const ControlFrame& frame) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::Frame>();
  if (const auto* peer = std::get_if<PeerIdentity>(&frame)) {
    Write(root.initHello(), *peer);
  } else {
    std::visit(MessageWriter{root}, std::get<DistributionMessage>(frame));
  }
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return {bytes.begin(), bytes.end()};
}

leaf::result<ControlFrame> DecodeFrame(std::span<const std::uint8_t> bytes) {
  if (bytes.size() > kMaxFrameBytes) {
    return leaf::new_error(WireError{WireError::Kind::kOutOfRange,
                                     "frame exceeds the maximum size"});
  }
  try {
    kj::ArrayInputStream stream(kj::arrayPtr(bytes.data(), bytes.size()));
    capnp::PackedMessageReader reader(stream, Limits());
    return ReadFrame(reader.getRoot<wire::Frame>());
  } catch (const kj::Exception& error) {
    return leaf::new_error(ToWireError(error));
  } catch (const OutOfRange& error) {
    return leaf::new_error(WireError{WireError::Kind::kOutOfRange, error.what});
  }
}

}  // namespace verbenastile
