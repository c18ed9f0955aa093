#include "mesh/link_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <limits>

#include "wire/link.capnp.h"

namespace verbenastile {
namespace {

constexpr std::size_t kWordBytes = sizeof(capnp::word);
constexpr std::size_t kScratchWords = 1'024;
constexpr std::int64_t kNoLength = -1;
constexpr std::int64_t kNoAge = -1;
constexpr std::size_t kCompactBytes = 65'536;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kBitsOfByte = 8;
// Marks a length as that of a delta.
constexpr std::uint32_t kIsDelta = std::uint32_t{1} << 31U;
// Frames of calls and answers with small bodies; others have little in common
// with the next, or bodies that do not get shorter.
constexpr std::size_t kLeastBaseBytes = 160;
constexpr std::size_t kMostBaseBytes = 4'096;

capnp::Text::Reader TextOf(const std::string& text) {
  return {text.c_str(), text.size()};
}

capnp::Data::Reader DataOf(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string StringOf(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string StringOf(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// For frames that say what is in force at their sender.
template <typename Builder>
void WriteConfiguration(const PeerConfiguration& configuration, Builder out) {
  out.setGeneration(configuration.generation);
  out.setConfigurationAgeUs(configuration.age ? configuration.age->count()
                                              : kNoAge);
}

template <typename Reader>
PeerConfiguration ReadConfiguration(Reader in) {
  PeerConfiguration configuration{in.getGeneration(), std::nullopt};
  if (in.getConfigurationAgeUs() >= 0) {
    configuration.age = Duration(in.getConfigurationAgeUs());
  }
  return configuration;
}

void WriteLoad(const GateLoad& load, wire::Load::Builder out) {
  out.setBusy(load.upstream.busy);
  out.setQueued(load.upstream.queued);
  out.setLinkWaitUs(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(load.upstream.link_wait.count(), 0,
                               std::numeric_limits<std::uint32_t>::max())));
  WriteConfiguration(load.configuration, out);
}

GateLoad ReadLoad(wire::Load::Reader in) {
  return {{in.getBusy(), in.getQueued(), Duration(in.getLinkWaitUs())},
          ReadConfiguration(in)};
}

void WriteHeld(const HeldConfiguration& held,
               wire::HeldConfiguration::Builder out) {
  out.setGeneration(held.generation);
  out.setDigestHigh(held.digest.high);
  out.setDigestLow(held.digest.low);
}

HeldConfiguration ReadHeld(wire::HeldConfiguration::Reader in) {
  return {in.getGeneration(), {in.getDigestHigh(), in.getDigestLow()}};
}

template <typename Builder>
void WriteHeaders(const HttpHeaders& headers, Builder out) {
  auto list = out.initHeaders(static_cast<unsigned>(headers.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setName(TextOf(headers[i].name));
    list[i].setValue(TextOf(headers[i].value));
  }
}

HttpHeaders ReadHeaders(capnp::List<wire::Header>::Reader in) {
  HttpHeaders headers;
  headers.reserve(in.size());
  for (const auto header : in) {
    headers.push_back(
        {StringOf(header.getName()), StringOf(header.getValue())});
  }
  return headers;
}

void WriteRecord(const MemberRecord& record, wire::Member::Builder out) {
  const Member& member = record.member;
  out.setName(TextOf(member.name));
  out.setIncarnation(member.incarnation);
  out.setSequence(record.sequence);
  out.setState(static_cast<std::uint8_t>(member.state));
  out.setServing(member.serving);
  out.setFailureDomain(TextOf(member.failure_domain));
  out.setRegion(TextOf(member.region));
  out.setService(TextOf(member.service));
  out.setLinkIp(TextOf(member.peer_address.ip));
  out.setLinkPort(member.peer_address.port);
  out.setSlots(member.slots);
}

MemberRecord ReadRecord(wire::Member::Reader in) {
  MemberRecord record;
  Member& member = record.member;
  member.name = StringOf(in.getName());
  member.incarnation = in.getIncarnation();
  record.sequence = in.getSequence();
  member.state = static_cast<MemberState>(
      std::min<int>(in.getState(), static_cast<int>(MemberState::kLeft)));
  member.serving = in.getServing();
  member.failure_domain = StringOf(in.getFailureDomain());
  member.region = StringOf(in.getRegion());
  member.service = StringOf(in.getService());
  member.peer_address = {StringOf(in.getLinkIp()), in.getLinkPort()};
  member.slots = in.getSlots();
  return record;
}

// Writes each kind of frame.
struct FrameWriter {
  wire::LinkFrame::Builder out;

  void operator()(const LinkHello& hello) {
    auto body = out.initHello();
    WriteRecord(hello.self, body.initMember());
    WriteConfiguration(hello.configuration, body);
  }
  void operator()(const GateCall& call) {
    auto body = out.initCall();
    body.setService(TextOf(call.service));
    body.setCallerService(TextOf(call.caller_service));
    body.setRequestId(TextOf(call.request_id));
    body.setMethod(TextOf(call.method));
    body.setTarget(TextOf(call.target));
    WriteHeaders(call.headers, body);
    body.setBody(DataOf(call.body));
    body.setRule(TextOf(call.rule));
    body.setPriority(static_cast<std::uint8_t>(call.priority));
    body.setRemainingUs(call.remaining.count());
    body.setObjectiveUs(call.objective.count());
    body.setIdempotent(call.idempotent);
    body.setOnlyIfFree(call.only_if_free);
  }
  void operator()(const LinkCancel&) { out.setCancel(); }
  void operator()(const GateRefusal& refusal) {
    auto body = out.initRefusal();
    body.setReason(static_cast<std::uint8_t>(refusal.reason));
    body.setComeBackUs(refusal.come_back.count());
    WriteLoad(refusal.load, body.initLoad());
  }
  void operator()(const GateAnswer& answer) {
    auto body = out.initAnswer();
    body.setStatus(static_cast<std::uint16_t>(answer.status));
    WriteHeaders(answer.headers, body);
    body.setLength(answer.length ? static_cast<std::int64_t>(*answer.length)
                                 : kNoLength);
    body.setBody(DataOf(answer.body));
    body.setLast(answer.last);
    WriteLoad(answer.load, body.initLoad());
    body.setWaitedUs(answer.waited.count());
  }
  void operator()(const GatePart& part) {
    auto body = out.initPart();
    body.setBody(DataOf(part.body));
    body.setLast(part.last);
  }
  void operator()(const GateBroken& broken) {
    auto body = out.initBroken();
    body.setDetail(TextOf(broken.detail));
    if (broken.load) {
      WriteLoad(*broken.load, body.initLoad());
    }
  }
  void operator()(const LinkCredit& credit) { out.setCredit(credit.bytes); }
  void operator()(const LinkPing&) { out.setPing(); }
  void operator()(const LinkPong& pong) {
    WriteLoad(pong.load, out.initPong());
  }
  void operator()(const LinkMember& member) {
    WriteRecord(member.record, out.initMember());
  }
  void operator()(const LinkSuspicion& suspicion) {
    out.setSuspicion(TextOf(suspicion.member));
  }
  void operator()(const LinkConfigurationWanted& wanted) {
    WriteHeld(wanted.held, out.initConfigurationWanted());
  }
  void operator()(const LinkConfiguration& configuration) {
    auto body = out.initConfiguration();
    WriteHeld(configuration.delta.base, body.initBase());
    WriteHeld(configuration.delta.to, body.initTo());
    body.setBytes(DataOf(configuration.delta.bytes));
  }
};

GateCall ReadCall(wire::Call::Reader in) {
  GateCall call;
  call.service = StringOf(in.getService());
  call.caller_service = StringOf(in.getCallerService());
  call.request_id = StringOf(in.getRequestId());
  call.method = StringOf(in.getMethod());
  call.target = StringOf(in.getTarget());
  call.headers = ReadHeaders(in.getHeaders());
  call.body = StringOf(in.getBody());
  call.rule = StringOf(in.getRule());
  call.priority = static_cast<Priority>(
      std::min<int>(in.getPriority(), static_cast<int>(Priority::kLow)));
  call.remaining = Duration(in.getRemainingUs());
  call.objective = Duration(in.getObjectiveUs());
  call.idempotent = in.getIdempotent();
  call.only_if_free = in.getOnlyIfFree();
  return call;
}

GateAnswer ReadAnswer(wire::Answer::Reader in) {
  GateAnswer answer;
  answer.status = in.getStatus();
  answer.headers = ReadHeaders(in.getHeaders());
  if (in.getLength() >= 0) {
    answer.length = static_cast<std::uint64_t>(in.getLength());
  }
  answer.body = StringOf(in.getBody());
  answer.last = in.getLast();
  answer.load = ReadLoad(in.getLoad());
  answer.waited = Duration(in.getWaitedUs());
  return answer;
}

GateRefusal ReadRefusal(wire::Refusal::Reader in) {
  const auto reason =
      std::min<int>(in.getReason(), static_cast<int>(RefusalReason::kSlow));
  return {static_cast<RefusalReason>(reason), Duration(in.getComeBackUs()),
          ReadLoad(in.getLoad())};
}

GateBroken ReadBroken(wire::Broken::Reader in) {
  GateBroken broken{StringOf(in.getDetail()), std::nullopt};
  if (in.hasLoad()) {
    broken.load = ReadLoad(in.getLoad());
  }
  return broken;
}

std::optional<LinkBody> ReadBody(wire::LinkFrame::Reader in) {
  using Which = wire::LinkFrame::Which;
  switch (in.which()) {
    case Which::HELLO:
      return LinkHello{ReadRecord(in.getHello().getMember()),
                       ReadConfiguration(in.getHello())};
    case Which::CALL:
      return ReadCall(in.getCall());
    case Which::CANCEL:
      return LinkCancel{};
    case Which::REFUSAL:
      return ReadRefusal(in.getRefusal());
    case Which::ANSWER:
      return ReadAnswer(in.getAnswer());
    case Which::PART:
      return GatePart{StringOf(in.getPart().getBody()), in.getPart().getLast()};
    case Which::BROKEN:
      return ReadBroken(in.getBroken());
    case Which::CREDIT:
      return LinkCredit{in.getCredit()};
    case Which::PING:
      return LinkPing{};
    case Which::PONG:
      return LinkPong{ReadLoad(in.getPong())};
    case Which::MEMBER:
      return LinkMember{ReadRecord(in.getMember())};
    case Which::SUSPICION:
      return LinkSuspicion{StringOf(in.getSuspicion())};
    case Which::CONFIGURATION_WANTED:
      return LinkConfigurationWanted{ReadHeld(in.getConfigurationWanted())};
    case Which::CONFIGURATION: {
      const auto delta = in.getConfiguration();
      return LinkConfiguration{{ReadHeld(delta.getBase()),
                                ReadHeld(delta.getTo()),
                                StringOf(delta.getBytes())}};
    }
  }
  return std::nullopt;  // A kind that a later version may send.
}

void WriteLength(std::uint32_t length, char* out) {
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    out[i] = static_cast<char>(length >> (i * kBitsOfByte));
  }
}

std::uint32_t ReadLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= std::uint32_t{static_cast<unsigned char>(bytes[i])}
              << (i * kBitsOfByte);
  }
  return length;
}

// Whether a frame of so many bytes is what the next small one is made from.
bool IsBase(std::size_t bytes) {
  return bytes >= kLeastBaseBytes && bytes <= kMostBaseBytes;
}

}  // namespace

std::string_view ToString(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kBusy:
      return "busy";
    case RefusalReason::kLeaving:
      return "leaving";
    case RefusalReason::kNoInstance:
      return "no_instance";
    case RefusalReason::kOtherService:
      return "other_service";
    case RefusalReason::kShed:
      return "shed";
    case RefusalReason::kSlow:
      return "slow";
  }
  return "unknown";
}

void LinkWriter::Append(const LinkFrame& frame, std::string& out) {
  capnp::word scratch[kScratchWords] = {};
  capnp::MallocMessageBuilder message(kj::arrayPtr(scratch, kScratchWords));
  auto root = message.initRoot<wire::LinkFrame>();
  root.setCallId(frame.call);
  std::visit(FrameWriter{root}, frame.body);
  const auto words = capnp::messageToFlatArray(message);
  const auto chars = words.asChars();
  const std::string_view bytes(chars.begin(), chars.size());
  const std::size_t begin = out.size();
  out.append(kLengthBytes, '\0');
  std::uint32_t length = 0;
  if (bytes.size() <= kMostBaseBytes) {
    length = static_cast<std::uint32_t>(deltas_->Append(last_, bytes, out));
  }
  if (length > 0) {
    length |= kIsDelta;
  } else {
    length = static_cast<std::uint32_t>(bytes.size());
    out.append(bytes);
  }
  WriteLength(length, out.data() + begin);
  if (IsBase(bytes.size())) {
    last_ = bytes;
  }
}

void LinkReader::Append(const char* bytes, std::size_t count) {
  if (begin_ == bytes_.size()) {
    bytes_.clear();
    begin_ = 0;
    if (bytes_.capacity() > kCompactBytes) {
      bytes_.shrink_to_fit();
    }
  } else if (begin_ > kCompactBytes) {
    bytes_.erase(0, begin_);
    begin_ = 0;
  }
  bytes_.append(bytes, count);
}

std::variant<std::optional<LinkFrame>, LinkCodecError> LinkReader::Next() {
  while (true) {
    const std::string_view unread = std::string_view(bytes_).substr(begin_);
    if (unread.size() < kLengthBytes) {
      return std::optional<LinkFrame>();
    }
    const std::uint32_t word = ReadLength(unread);
    const std::size_t length = word & ~kIsDelta;
    if (length > kMaxLinkFrameBytes) {
      return LinkCodecError{"a frame is too large"};
    }
    if (unread.size() - kLengthBytes < length) {
      return std::optional<LinkFrame>();
    }
    begin_ += kLengthBytes + length;
    auto frame =
        Read(unread.substr(kLengthBytes, length), (word & kIsDelta) != 0);
    // A frame of a kind that a later version may send is passed over.
    const auto* read = std::get_if<std::optional<LinkFrame>>(&frame);
    if (read == nullptr || *read) {
      return frame;
    }
  }
}

std::variant<std::optional<LinkFrame>, LinkCodecError> LinkReader::Read(
    std::string_view bytes,
    bool is_delta) {
  std::string whole;
  if (!is_delta) {
    whole = bytes;
  } else if (!deltas_->Apply(last_, bytes, kMostBaseBytes, whole)) {
    return LinkCodecError{"a frame's delta is damaged"};
  }
  if (IsBase(whole.size())) {
    last_ = whole;
  }
  // A string's own buffer, in place or not, is aligned to words.
  const auto* words = reinterpret_cast<const capnp::word*>(whole.data());
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxLinkFrameBytes / kWordBytes * 2;
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(words, whole.size() / kWordBytes), options);
    const auto root = reader.getRoot<wire::LinkFrame>();
    auto body = ReadBody(root);
    if (!body) {
      return std::optional<LinkFrame>();
    }
    return std::optional<LinkFrame>({root.getCallId(), std::move(*body)});
  } catch (const kj::Exception& error) {
    return LinkCodecError{error.getDescription().cStr()};
  }
}

}  // namespace verbenastile
