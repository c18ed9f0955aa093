#include "mesh/link_codec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "wire/link.capnp.h"

namespace verbenastile {
namespace {

constexpr std::size_t kWordBytes = sizeof(capnp::word);
constexpr std::size_t kScratchWords = 1'024;
constexpr std::int64_t kNoLength = -1;
constexpr std::int64_t kNoAge = -1;
constexpr double kNoRateLimit = -1;
constexpr std::size_t kCompactThreshold = 65'536;
// Buffers of links at rest are no larger.
constexpr std::size_t kMaxIdleBufferBytes = 1'024;
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kBitsPerByte = 8;
// Flag in the length field of a frame that is sent as a delta.
constexpr std::uint32_t kDeltaFlag = std::uint32_t{1} << 31U;
// The sizes of frames that deltas are based on: calls and responses with small
// bodies. Smaller frames have little in common with the next one, and the
// bodies of larger ones do not get shorter.
constexpr std::size_t kMinBaseBytes = 160;
constexpr std::size_t kMaxBaseBytes = 4'096;

capnp::Text::Reader ToTextReader(const std::string& text) {
  return {text.c_str(), text.size()};
}

capnp::Data::Reader ToDataReader(const std::string& text) {
  return {reinterpret_cast<const kj::byte*>(text.data()), text.size()};
}

std::string CopyToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

std::string CopyToString(capnp::Data::Reader data) {
  return {reinterpret_cast<const char*>(data.begin()), data.size()};
}

// For messages that report the active configuration of their sender.
template <typename Builder>
void WriteConfiguration(const PeerConfiguration& configuration, Builder out) {
  out.setGeneration(configuration.generation);
  out.setConfigurationAgeUs(configuration.age ? configuration.age->count()
                                              : kNoAge);
  out.setStoreEra(configuration.store_era);
}

template <typename Reader>
PeerConfiguration ReadConfiguration(Reader in) {
  PeerConfiguration configuration{in.getGeneration(), std::nullopt,
                                  in.getStoreEra()};
  if (in.getConfigurationAgeUs() >= 0) {
    configuration.age = Duration(in.getConfigurationAgeUs());
  }
  return configuration;
}

std::uint32_t ToMicroseconds32(Duration duration) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      duration.count(), 0, std::numeric_limits<std::uint32_t>::max()));
}

void WriteNotice(const InstanceNotice& notice,
                 wire::InstanceNotice::Builder out) {
  out.setInstance(ToTextReader(notice.instance));
  out.setRateLimit(notice.rate_limit.value_or(kNoRateLimit));
  out.setLeaving(notice.leaving);
  out.setStartedMs(notice.started_ms);
}

// A limit that is no number is none.
QuotaLimit ReadLimit(wire::QuotaNeed::Reader in) {
  const RequestQuota quota = {in.getRatePerSecond(), in.getBurst()};
  const bool is_valid = std::isfinite(quota.per_second) &&
                        quota.per_second > 0 && std::isfinite(quota.burst) &&
                        quota.burst >= 0;
  return {is_valid ? quota : RequestQuota{}, in.getGeneration()};
}

InstanceNotice ReadNotice(wire::InstanceNotice::Reader in) {
  InstanceNotice notice{CopyToString(in.getInstance()), std::nullopt,
                        in.getLeaving(), in.getStartedMs()};
  if (std::isfinite(in.getRateLimit()) && in.getRateLimit() >= 0) {
    notice.rate_limit = in.getRateLimit();
  }
  return notice;
}

void WriteLoad(const GateLoad& load, wire::Load::Builder out) {
  out.setBusy(load.upstream.busy);
  out.setQueued(load.upstream.queued);
  out.setLinkWaitUs(ToMicroseconds32(load.upstream.link_wait));
  out.setRateLimitDelayUs(ToMicroseconds32(load.upstream.rate_limit_delay));
  out.setSlownessPermille(load.upstream.slowness_permille);
  WriteConfiguration(load.configuration, out);
  if (load.notice) {
    WriteNotice(*load.notice, out.initNotice());
  }
}

GateLoad ReadLoad(wire::Load::Reader in) {
  GateLoad load;
  load.upstream = {in.getBusy(),
                   in.getQueued(),
                   Duration(in.getLinkWaitUs()),
                   Duration(in.getRateLimitDelayUs()),
                   std::nullopt,
                   in.getSlownessPermille()};
  load.configuration = ReadConfiguration(in);
  if (in.hasNotice()) {
    load.notice = ReadNotice(in.getNotice());
    load.upstream.rate_limit = load.notice->rate_limit;
  }
  return load;
}

void WriteHeldConfiguration(const HeldConfiguration& held,
                            wire::HeldConfiguration::Builder out) {
  out.setGeneration(held.generation);
  out.setDigestHigh(held.digest.high);
  out.setDigestLow(held.digest.low);
}

HeldConfiguration ReadHeldConfiguration(wire::HeldConfiguration::Reader in) {
  return {in.getGeneration(), {in.getDigestHigh(), in.getDigestLow()}};
}

CrashEvidence ReadEvidence(wire::CrashEvidence::Reader in) {
  CrashEvidence evidence{{in.getRequestHigh(), in.getRequestLow()},
                         in.getClearances(),
                         in.getConvicted(),
                         {}};
  for (const auto crash : in.getCrashes()) {
    if (evidence.crashes.size() == CrashSuspects::kMaxCrashesKept) {
      break;
    }
    evidence.crashes.push_back(
        {CopyToString(crash.getNode()), crash.getNumber()});
  }
  return evidence;
}

template <typename Builder>
void WriteHeaders(const HttpHeaders& headers, Builder out) {
  auto list = out.initHeaders(static_cast<unsigned>(headers.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    list[i].setName(ToTextReader(headers[i].name));
    list[i].setValue(ToTextReader(headers[i].value));
  }
}

HttpHeaders ReadHeaders(capnp::List<wire::Header>::Reader in) {
  HttpHeaders headers;
  headers.reserve(in.size());
  for (const auto header : in) {
    headers.push_back(
        {CopyToString(header.getName()), CopyToString(header.getValue())});
  }
  return headers;
}

void WriteRecord(const MemberRecord& record, wire::Member::Builder out) {
  const Member& member = record.member;
  out.setName(ToTextReader(member.name));
  out.setIncarnation(member.incarnation);
  out.setSequence(record.sequence);
  out.setState(static_cast<std::uint8_t>(member.state));
  out.setServing(member.serving);
  out.setFailureDomain(ToTextReader(member.failure_domain));
  out.setRegion(ToTextReader(member.region));
  out.setService(ToTextReader(member.service));
  out.setLinkIp(ToTextReader(member.peer_address.ip));
  out.setLinkPort(member.peer_address.port);
  out.setSlots(member.slots);
  out.setInstance(ToTextReader(record.instance));
  out.setInstanceLeaving(record.instance_leaving);
  out.setInstanceStartedMs(record.instance_started_ms);
  out.setOwnsQuotaParts(record.owns_quota_parts);
  out.setWantsConfirmation(record.wants_confirmation);
  out.setJoinsOwners(record.joins_owners);
  out.setSoftware(ToTextReader(member.software));
}

MemberRecord ReadRecord(wire::Member::Reader in) {
  MemberRecord record;
  Member& member = record.member;
  member.name = CopyToString(in.getName());
  member.incarnation = in.getIncarnation();
  record.sequence = in.getSequence();
  member.state = static_cast<MemberState>(
      std::min<int>(in.getState(), static_cast<int>(MemberState::kLeft)));
  member.serving = in.getServing();
  member.failure_domain = CopyToString(in.getFailureDomain());
  member.region = CopyToString(in.getRegion());
  member.service = CopyToString(in.getService());
  member.peer_address = {CopyToString(in.getLinkIp()), in.getLinkPort()};
  member.slots = in.getSlots();
  record.instance = CopyToString(in.getInstance());
  record.instance_leaving = in.getInstanceLeaving();
  record.instance_started_ms = in.getInstanceStartedMs();
  record.owns_quota_parts = in.getOwnsQuotaParts();
  record.wants_confirmation = in.getWantsConfirmation();
  record.joins_owners = in.getJoinsOwners();
  member.software = CopyToString(in.getSoftware());
  return record;
}

void WriteRollout(const RolloutReport& report,
                  wire::RolloutReport::Builder out) {
  out.setService(ToTextReader(report.order.service));
  out.setTargetVersion(ToTextReader(report.order.target_version));
  out.setDurationUs(report.order.duration.count());
  out.setRevision(report.order.revision);
  out.setRemainingUs(report.remaining.count());
  out.setState(static_cast<std::uint8_t>(report.state));
  out.setNode(ToTextReader(report.node));
  out.setIncarnation(report.incarnation);
  out.setId(report.order.id);
  out.setEra(report.order.era);
  out.setRecorded(report.recorded);
  out.setOldInFlight(report.old_in_flight);
  auto list = out.initOutcomes(static_cast<unsigned>(report.outcomes.size()));
  for (unsigned i = 0; i < list.size(); ++i) {
    const VersionOutcomes& outcomes = report.outcomes[i];
    list[i].setRule(ToTextReader(outcomes.rule));
    list[i].setInstance(ToTextReader(outcomes.instance));
    list[i].setFull(outcomes.full);
    list[i].setOutside(outcomes.outside);
    list[i].setResponses(outcomes.responses);
    list[i].setFailures(outcomes.failures);
    auto times =
        list[i].initTimes(static_cast<unsigned>(outcomes.times.size()));
    for (unsigned j = 0; j < times.size(); ++j) {
      times.set(j, outcomes.times[j]);
    }
  }
}

RolloutReport ReadRollout(wire::RolloutReport::Reader in) {
  RolloutReport report;
  report.order = {CopyToString(in.getService()),
                  CopyToString(in.getTargetVersion()),
                  Duration(in.getDurationUs()),
                  in.getId(),
                  in.getEra(),
                  in.getRevision()};
  report.remaining = Duration(in.getRemainingUs());
  report.state = static_cast<RolloutState>(std::min<int>(
      in.getState(), static_cast<int>(RolloutState::kRolledBack)));
  report.node = CopyToString(in.getNode());
  report.incarnation = in.getIncarnation();
  report.recorded = in.getRecorded();
  report.old_in_flight = in.getOldInFlight();
  for (const auto outcomes : in.getOutcomes()) {
    VersionOutcomes& read = report.outcomes.emplace_back();
    read.rule = CopyToString(outcomes.getRule());
    read.instance = CopyToString(outcomes.getInstance());
    read.full = outcomes.getFull();
    read.outside = outcomes.getOutside();
    read.responses = outcomes.getResponses();
    read.failures = outcomes.getFailures();
    for (const std::uint32_t count : outcomes.getTimes()) {
      read.times.push_back(count);
    }
  }
  return report;
}

// A report without a service is about all orders.
void WriteRolloutNote(const LinkRollouts& message,
                      wire::RolloutReport::Builder out) {
  out.setRecorded(message.age.has_value());
  out.setRemainingUs(message.age.value_or(Duration(0)).count());
}

void ReadRolloutNote(wire::RolloutReport::Reader in, LinkRollouts& message) {
  if (in.getRecorded()) {
    message.age = std::max(Duration(in.getRemainingUs()), Duration(0));
  } else {
    message.asks = true;
  }
}

// Encodes each type of frame.
struct FrameWriter {
  wire::LinkFrame::Builder out;

  void operator()(const LinkHello& hello) {
    auto body = out.initHello();
    WriteRecord(hello.self, body.initMember());
    WriteConfiguration(hello.configuration, body);
  }
  void operator()(const GateCall& call) {
    auto body = out.initCall();
    body.setService(ToTextReader(call.service));
    body.setCallerService(ToTextReader(call.caller_service));
    body.setRequestId(ToTextReader(call.request_id));
    body.setMethod(ToTextReader(call.method));
    body.setTarget(ToTextReader(call.target));
    WriteHeaders(call.headers, body);
    body.setBody(ToDataReader(call.body));
    body.setRule(ToTextReader(call.rule));
    body.setPriority(static_cast<std::uint8_t>(call.priority));
    body.setRemainingUs(call.remaining.count());
    body.setObjectiveUs(call.objective.count());
    body.setIdempotent(call.idempotent);
    body.setOnlyIfFree(call.only_if_free);
    body.setGroup(ToTextReader(call.group));
    if (call.group_priority) {
      body.setGroupPriority(static_cast<std::uint8_t>(*call.group_priority));
    }
    if (call.notice) {
      WriteNotice(*call.notice, body.initNotice());
    }
  }
  void operator()(const LinkCancel&) { out.setCancel(); }
  void operator()(const GateRefusal& refusal) {
    auto body = out.initRefusal();
    body.setReason(static_cast<std::uint8_t>(refusal.reason));
    body.setComeBackUs(refusal.retry_delay.count());
    WriteLoad(refusal.load, body.initLoad());
  }
  void operator()(const GateResponse& response) {
    auto body = out.initAnswer();
    body.setStatus(static_cast<std::uint16_t>(response.status));
    WriteHeaders(response.headers, body);
    body.setLength(response.length ? static_cast<std::int64_t>(*response.length)
                                   : kNoLength);
    body.setBody(ToDataReader(response.body));
    body.setLast(response.last);
    WriteLoad(response.load, body.initLoad());
    body.setWaitedUs(response.queue_time.count());
  }
  void operator()(const GateResponseChunk& chunk) {
    auto body = out.initPart();
    body.setBody(ToDataReader(chunk.body));
    body.setLast(chunk.last);
  }
  void operator()(const GateFailure& failure) {
    auto body = out.initBroken();
    body.setDetail(ToTextReader(failure.detail));
    if (failure.load) {
      WriteLoad(*failure.load, body.initLoad());
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
    out.setSuspicion(ToTextReader(suspicion.member));
  }
  void operator()(const LinkCrashEvidence& known) {
    auto list =
        out.initCrashEvidence(static_cast<unsigned>(known.evidence.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      const CrashEvidence& evidence = known.evidence[i];
      list[i].setRequestHigh(evidence.request.high);
      list[i].setRequestLow(evidence.request.low);
      list[i].setClearances(evidence.clearances);
      list[i].setConvicted(evidence.convicted);
      auto crashes =
          list[i].initCrashes(static_cast<unsigned>(evidence.crashes.size()));
      for (unsigned j = 0; j < crashes.size(); ++j) {
        crashes[j].setNode(ToTextReader(evidence.crashes[j].node));
        crashes[j].setNumber(evidence.crashes[j].number);
      }
    }
  }
  void operator()(const LinkQuotaNeeds& message) {
    auto list = out.initQuotaNeeds(static_cast<unsigned>(message.needs.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      const QuotaNeed& need = message.needs[i];
      list[i].setGroup(ToTextReader(need.group));
      list[i].setWaiting(need.waiting);
      list[i].setHeld(need.held);
      list[i].setReturned(need.returned);
      list[i].setSpareUsed(need.spare_used);
      list[i].setDemandMilli(need.demand_milli);
      list[i].setRatePerSecond(need.limit.quota.per_second);
      list[i].setBurst(need.limit.quota.burst);
      list[i].setGeneration(need.limit.generation);
    }
  }
  void operator()(const LinkQuotaLoans& message) {
    auto list = out.initQuotaLoans(static_cast<unsigned>(message.loans.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      const QuotaLoan& loan = message.loans[i];
      list[i].setGroup(ToTextReader(loan.group));
      list[i].setTokens(loan.tokens);
      list[i].setSpare(loan.spare);
      list[i].setNextTokenInUs(loan.next_token_in.count());
      list[i].setOverloaded(loan.overloaded);
      list[i].setProvisional(loan.provisional);
    }
  }
  void operator()(const LinkQuotaPartRequest& message) {
    auto request = out.initQuotaPartRequest();
    request.setId(message.request.id);
    request.setVersion(message.request.version);
    request.setLifetimeUs(ToMicroseconds32(message.request.lifetime));
    const std::vector<std::uint64_t>& groups = message.request.groups;
    request.setGroups(kj::arrayPtr(groups.data(), groups.size()));
  }
  void operator()(const LinkQuotaPartGrant& message) {
    const QuotaPartGrant& grant = message.grant;
    auto result = out.initQuotaPartGrant();
    result.setId(grant.id);
    result.setGranted(grant.granted);
    result.setFreeForUs(ToMicroseconds32(grant.free_for));
    result.setBase(grant.base);
    result.setVersion(grant.version);
    if (!grant.added.empty()) {
      result.setAdded(kj::arrayPtr(grant.added.data(), grant.added.size()));
    }
    if (!grant.removed.empty()) {
      result.setRemoved(
          kj::arrayPtr(grant.removed.data(), grant.removed.size()));
    }
    result.setOwners(kj::arrayPtr(grant.owners.data(), grant.owners.size()));
  }
  void operator()(const LinkQuotaPartChanged&) { out.setQuotaPartChanged(); }
  void operator()(const LinkInstanceNotice& message) {
    WriteNotice(message.notice, out.initInstanceNotice());
  }
  void operator()(const LinkMembersWanted&) { out.setMembersWanted(); }
  void operator()(const LinkMembers& message) {
    auto result = out.initMembers();
    auto list =
        result.initMembers(static_cast<unsigned>(message.records.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
      WriteRecord(message.records[i], list[i]);
    }
    result.setSenderOwnsQuotaParts(message.sender_owns_quota_parts);
    result.setReceiverOwnedQuotaParts(message.receiver_owned_quota_parts);
  }
  void operator()(const LinkMemberKnown& message) {
    out.setMemberKnown(message.sequence);
  }
  void operator()(const LinkRollouts& message) {
    const bool has_note = message.age || message.asks;
    auto list = out.initRollouts(
        static_cast<unsigned>(message.reports.size() + (has_note ? 1 : 0)));
    for (unsigned i = 0; i < message.reports.size(); ++i) {
      WriteRollout(message.reports[i], list[i]);
    }
    if (has_note) {
      WriteRolloutNote(message, list[list.size() - 1]);
    }
  }
  void operator()(const LinkConfigurationRequest& request) {
    WriteHeldConfiguration(request.held, out.initConfigurationWanted());
  }
  void operator()(const LinkConfiguration& configuration) {
    auto body = out.initConfiguration();
    WriteHeldConfiguration(configuration.delta.base, body.initBase());
    WriteHeldConfiguration(configuration.delta.to, body.initTo());
    body.setBytes(ToDataReader(configuration.delta.bytes));
  }
};

GateCall ReadCall(wire::Call::Reader in) {
  GateCall call;
  call.service = CopyToString(in.getService());
  call.caller_service = CopyToString(in.getCallerService());
  call.request_id = CopyToString(in.getRequestId());
  call.method = CopyToString(in.getMethod());
  call.target = CopyToString(in.getTarget());
  call.headers = ReadHeaders(in.getHeaders());
  call.body = CopyToString(in.getBody());
  call.rule = CopyToString(in.getRule());
  call.priority = static_cast<Priority>(
      std::min<int>(in.getPriority(), static_cast<int>(Priority::kLow)));
  call.remaining = Duration(in.getRemainingUs());
  call.objective = Duration(in.getObjectiveUs());
  call.idempotent = in.getIdempotent();
  call.only_if_free = in.getOnlyIfFree();
  call.group = CopyToString(in.getGroup());
  if (in.getGroupPriority() <= static_cast<int>(Priority::kLow)) {
    call.group_priority = static_cast<Priority>(in.getGroupPriority());
  }
  if (in.hasNotice()) {
    call.notice = ReadNotice(in.getNotice());
  }
  return call;
}

GateResponse ReadResponse(wire::Answer::Reader in) {
  GateResponse response;
  response.status = in.getStatus();
  response.headers = ReadHeaders(in.getHeaders());
  if (in.getLength() >= 0) {
    response.length = static_cast<std::uint64_t>(in.getLength());
  }
  response.body = CopyToString(in.getBody());
  response.last = in.getLast();
  response.load = ReadLoad(in.getLoad());
  response.queue_time = Duration(in.getWaitedUs());
  return response;
}

GateRefusal ReadRefusal(wire::Refusal::Reader in) {
  const auto reason = std::min<int>(
      in.getReason(), static_cast<int>(RefusalReason::kCrashSuspect));
  return {static_cast<RefusalReason>(reason), Duration(in.getComeBackUs()),
          ReadLoad(in.getLoad())};
}

GateFailure ReadFailure(wire::Broken::Reader in) {
  GateFailure failure{CopyToString(in.getDetail()), std::nullopt};
  if (in.hasLoad()) {
    failure.load = ReadLoad(in.getLoad());
  }
  return failure;
}

LinkQuotaNeeds ReadNeeds(capnp::List<wire::QuotaNeed>::Reader in) {
  LinkQuotaNeeds message;
  for (const auto need : in) {
    message.needs.push_back({CopyToString(need.getGroup()), need.getWaiting(),
                             need.getHeld(), need.getReturned(),
                             need.getSpareUsed(), need.getDemandMilli(),
                             ReadLimit(need)});
  }
  return message;
}

LinkQuotaLoans ReadLoans(capnp::List<wire::QuotaLoan>::Reader in) {
  LinkQuotaLoans message;
  for (const auto loan : in) {
    message.loans.push_back({CopyToString(loan.getGroup()), loan.getTokens(),
                             loan.getSpare(), Duration(loan.getNextTokenInUs()),
                             loan.getOverloaded(), loan.getProvisional()});
  }
  return message;
}

LinkQuotaPartRequest ReadPartRequest(wire::QuotaPartRequest::Reader in) {
  QuotaPartRequest request{
      in.getId(), in.getVersion(), Duration(in.getLifetimeUs()), {}};
  for (const std::uint64_t group : in.getGroups()) {
    request.groups.push_back(group);
  }
  return {std::move(request)};
}

LinkQuotaPartGrant ReadPartGrant(wire::QuotaPartGrant::Reader in) {
  QuotaPartGrant grant;
  grant.id = in.getId();
  grant.granted = in.getGranted();
  grant.free_for = Duration(in.getFreeForUs());
  grant.base = in.getBase();
  grant.version = in.getVersion();
  for (const std::uint64_t digest : in.getAdded()) {
    grant.added.push_back(digest);
  }
  for (const std::uint64_t digest : in.getRemoved()) {
    grant.removed.push_back(digest);
  }
  for (const std::uint8_t owners : in.getOwners()) {
    grant.owners.push_back(owners);
  }
  return {std::move(grant)};
}

LinkMembers ReadMembers(wire::Members::Reader in) {
  LinkMembers message;
  for (const auto member : in.getMembers()) {
    message.records.push_back(ReadRecord(member));
  }
  message.sender_owns_quota_parts = in.getSenderOwnsQuotaParts();
  message.receiver_owned_quota_parts = in.getReceiverOwnedQuotaParts();
  return message;
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
      return ReadResponse(in.getAnswer());
    case Which::PART:
      return GateResponseChunk{CopyToString(in.getPart().getBody()),
                               in.getPart().getLast()};
    case Which::BROKEN:
      return ReadFailure(in.getBroken());
    case Which::CREDIT:
      return LinkCredit{in.getCredit()};
    case Which::PING:
      return LinkPing{};
    case Which::PONG:
      return LinkPong{ReadLoad(in.getPong())};
    case Which::MEMBER:
      return LinkMember{ReadRecord(in.getMember())};
    case Which::SUSPICION:
      return LinkSuspicion{CopyToString(in.getSuspicion())};
    case Which::CRASH_EVIDENCE: {
      LinkCrashEvidence known;
      for (const auto evidence : in.getCrashEvidence()) {
        known.evidence.push_back(ReadEvidence(evidence));
      }
      return known;
    }
    case Which::QUOTA_NEEDS:
      return ReadNeeds(in.getQuotaNeeds());
    case Which::QUOTA_LOANS:
      return ReadLoans(in.getQuotaLoans());
    case Which::QUOTA_PART_REQUEST:
      return ReadPartRequest(in.getQuotaPartRequest());
    case Which::QUOTA_PART_GRANT:
      return ReadPartGrant(in.getQuotaPartGrant());
    case Which::QUOTA_PART_CHANGED:
      return LinkQuotaPartChanged{};
    case Which::INSTANCE_NOTICE:
      return LinkInstanceNotice{ReadNotice(in.getInstanceNotice())};
    case Which::MEMBERS_WANTED:
      return LinkMembersWanted{};
    case Which::MEMBERS:
      return ReadMembers(in.getMembers());
    case Which::MEMBER_KNOWN:
      return LinkMemberKnown{in.getMemberKnown()};
    case Which::ROLLOUTS: {
      LinkRollouts message;
      for (const auto report : in.getRollouts()) {
        if (report.getService().size() == 0) {
          ReadRolloutNote(report, message);
        } else {
          message.reports.push_back(ReadRollout(report));
        }
      }
      return message;
    }
    case Which::CONFIGURATION_WANTED:
      return LinkConfigurationRequest{
          ReadHeldConfiguration(in.getConfigurationWanted())};
    case Which::CONFIGURATION: {
      const auto delta = in.getConfiguration();
      return LinkConfiguration{{ReadHeldConfiguration(delta.getBase()),
                                ReadHeldConfiguration(delta.getTo()),
                                CopyToString(delta.getBytes())}};
    }
  }
  return std::nullopt;  // A frame type of a later protocol version.
}

void WriteLength(std::uint32_t length, char* out) {
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    out[i] = static_cast<char>(length >> (i * kBitsPerByte));
  }
}

std::uint32_t ReadLength(std::string_view bytes) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= std::uint32_t{static_cast<unsigned char>(bytes[i])}
              << (i * kBitsPerByte);
  }
  return length;
}

// Whether a frame of `size` bytes becomes the base of the next delta.
bool IsDeltaBase(std::size_t size) {
  return size >= kMinBaseBytes && size <= kMaxBaseBytes;
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
    case RefusalReason::kCrashSuspect:
      return "crash_suspect";
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
  if (bytes.size() <= kMaxBaseBytes) {
    length =
        static_cast<std::uint32_t>(deltas_->Append(delta_base_, bytes, out));
  }
  if (length > 0) {
    length |= kDeltaFlag;
  } else {
    length = static_cast<std::uint32_t>(bytes.size());
    out.append(bytes);
  }
  WriteLength(length, out.data() + begin);
  if (IsDeltaBase(bytes.size())) {
    delta_base_ = bytes;
  }
}

void LinkReader::ReleaseBuffer() {
  bytes_.clear();
  read_offset_ = 0;
  if (bytes_.capacity() > kMaxIdleBufferBytes) {
    bytes_.shrink_to_fit();
  }
}

void LinkReader::Append(const char* bytes, std::size_t count) {
  if (read_offset_ == bytes_.size()) {
    ReleaseBuffer();
  } else if (read_offset_ > kCompactThreshold) {
    bytes_.erase(0, read_offset_);
    read_offset_ = 0;
  }
  bytes_.append(bytes, count);
}

std::variant<std::optional<LinkFrame>, LinkCodecError> LinkReader::Next() {
  while (true) {
    const std::string_view unread =
        std::string_view(bytes_).substr(read_offset_);
    if (unread.empty()) {
      ReleaseBuffer();
    }
    if (unread.size() < kLengthBytes) {
      return std::optional<LinkFrame>();
    }
    const std::uint32_t length_field = ReadLength(unread);
    const std::size_t length = length_field & ~kDeltaFlag;
    if (length > kMaxLinkFrameBytes) {
      return LinkCodecError{"a frame is too large"};
    }
    if (unread.size() - kLengthBytes < length) {
      return std::optional<LinkFrame>();
    }
    read_offset_ += kLengthBytes + length;
    auto frame = Decode(unread.substr(kLengthBytes, length),
                        (length_field & kDeltaFlag) != 0);
    // Frames of a type added by a later protocol version are skipped.
    const auto* decoded = std::get_if<std::optional<LinkFrame>>(&frame);
    if (decoded == nullptr || *decoded) {
      return frame;
    }
  }
}

std::variant<std::optional<LinkFrame>, LinkCodecError> LinkReader::Decode(
    std::string_view bytes,
    bool is_delta) {
  std::string message_bytes;
  if (!is_delta) {
    message_bytes = bytes;
  } else if (!deltas_->Apply(delta_base_, bytes, kMaxBaseBytes,
                             message_bytes)) {
    return LinkCodecError{"a frame's delta is damaged"};
  }
  if (IsDeltaBase(message_bytes.size())) {
    delta_base_ = message_bytes;
  }
  // The buffer of a `std::string` is word-aligned, whether inline or on the
  // heap.
  const auto* words =
      reinterpret_cast<const capnp::word*>(message_bytes.data());
  try {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = kMaxLinkFrameBytes / kWordBytes * 2;
    capnp::FlatArrayMessageReader reader(
        kj::arrayPtr(words, message_bytes.size() / kWordBytes), options);
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
