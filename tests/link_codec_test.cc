#include <catch2/catch.hpp>

#include "mesh/link_codec.h"

namespace verbenastile {
namespace {

GateCall MakeCall(std::size_t body_bytes) {
  GateCall call;
  call.service = "booking";
  call.caller_service = "library";
  call.request_id = "9c41";
  call.rule = "r-1";
  call.method = "POST";
  call.target = "/p/q?x=1";
  call.headers = {{"Host", "a.example"}, {"X-Empty", ""}};
  call.body = std::string(body_bytes, 'b');
  call.priority = Priority::kLow;
  call.remaining = std::chrono::milliseconds(900);
  call.objective = std::chrono::milliseconds(-5);
  call.idempotent = true;
  call.notice = InstanceNotice{"i-1", 8.5, false, 1'000};
  call.group = "academies";
  call.group_priority = Priority::kHigh;
  return call;
}

// Encodes the frames of one connection.
struct Connection {
  void Append(const LinkFrame& frame) { writer.Append(frame, bytes); }

  SmallTextDeltas deltas;
  LinkWriter writer{&deltas};
  std::string bytes;
};

// Decodes `bytes`, passed to the reader in chunks of `chunk_size` bytes.
std::vector<LinkFrame> Decode(const std::string& bytes,
                              std::size_t chunk_size) {
  SmallTextDeltas deltas;
  LinkReader reader(&deltas);
  std::vector<LinkFrame> frames;
  for (std::size_t at = 0; at < bytes.size(); at += chunk_size) {
    reader.Append(bytes.data() + at, std::min(chunk_size, bytes.size() - at));
    while (true) {
      auto next = reader.Next();
      auto* frame = std::get_if<std::optional<LinkFrame>>(&next);
      REQUIRE(frame != nullptr);
      if (!*frame) {
        break;
      }
      frames.push_back(std::move(**frame));
    }
  }
  return frames;
}

SCENARIO("frames are decoded from chunks of any size") {
  Connection out;
  out.Append({7, MakeCall(10'000)});
  out.Append({7, LinkCancel{}});
  GateResponse response;
  response.status = 503;
  response.headers = {{"A", "b"}};
  response.body = "x";
  response.last = true;
  response.load = {{3, 4, {}, std::chrono::milliseconds(6), {}, 1'250},
                   {12, std::chrono::seconds(2)},
                   InstanceNotice{"i-1", 0.0, true}};
  response.queue_time = std::chrono::milliseconds(7);
  out.Append({8, response});
  out.Append({0, LinkPing{}});

  const std::size_t chunk_size = GENERATE(1, 7, 4'096, 1'000'000);
  const auto frames = Decode(out.bytes, chunk_size);
  REQUIRE(frames.size() == 4);
  const auto& call = std::get<GateCall>(frames[0].body);
  CHECK(frames[0].call == 7);
  CHECK(call.body == MakeCall(10'000).body);
  CHECK(call.headers.size() == 2);
  CHECK(call.headers[1].value.empty());
  CHECK(call.priority == Priority::kLow);
  CHECK(call.group == "academies");
  CHECK(call.group_priority == Priority::kHigh);
  CHECK(call.objective == std::chrono::milliseconds(-5));
  CHECK(call.rule == "r-1");
  CHECK(call.idempotent);
  CHECK(call.notice == InstanceNotice{"i-1", 8.5, false, 1'000});
  CHECK(std::holds_alternative<LinkCancel>(frames[1].body));
  const auto& decoded_response = std::get<GateResponse>(frames[2].body);
  CHECK(decoded_response.status == 503);
  CHECK_FALSE(decoded_response.length.has_value());
  CHECK(decoded_response.load.upstream.queued == 4);
  CHECK(decoded_response.load.upstream.rate_limit_delay ==
        std::chrono::milliseconds(6));
  CHECK(decoded_response.load.upstream.rate_limit == 0.0);
  CHECK(decoded_response.load.upstream.slowness_permille == 1'250);
  CHECK(decoded_response.load.notice == InstanceNotice{"i-1", 0.0, true});
  CHECK(decoded_response.load.configuration.generation == 12);
  CHECK(decoded_response.load.configuration.age ==
        Duration(std::chrono::seconds(2)));
  CHECK(decoded_response.queue_time == std::chrono::milliseconds(7));
  CHECK(std::holds_alternative<LinkPing>(frames[3].body));
}

SCENARIO("member and configuration frames are decoded as they were encoded") {
  Connection out;
  const HeldConfiguration held{3, {1, 2}};
  out.Append({0, LinkSuspicion{"node-7"}});
  out.Append({0, LinkConfigurationRequest{held}});
  out.Append({0, LinkConfiguration{{held, {4, {5, 6}}, "\x01z"}}});
  out.Append({0, LinkPong{{{1, 2, std::chrono::milliseconds(9)}, {}}}});
  out.Append({9, GateFailure{"reset", std::nullopt}});
  MemberRecord record;
  record.instance = "i-1";
  record.instance_leaving = true;
  record.instance_started_ms = 1'000;
  out.Append({0, LinkMember{record}});
  const std::vector<CrashEvidence> evidence = {
      {{1, 2}, 3, true, {{"node-1", 4}, {"node-2", 5}}},
      {{6, 7}, 8, false, {}}};
  out.Append({0, LinkCrashEvidence{evidence}});

  const auto frames = Decode(out.bytes, out.bytes.size());
  REQUIRE(frames.size() == 7);
  CHECK(std::get<LinkSuspicion>(frames[0].body).member == "node-7");
  CHECK(std::get<LinkConfigurationRequest>(frames[1].body).held == held);
  const auto& delta = std::get<LinkConfiguration>(frames[2].body).delta;
  CHECK(delta.base == held);
  CHECK(delta.to == HeldConfiguration{4, {5, 6}});
  CHECK(delta.bytes == "\x01z");
  const auto& pong = std::get<LinkPong>(frames[3].body);
  CHECK(pong.load.upstream.link_wait == std::chrono::milliseconds(9));
  CHECK_FALSE(pong.load.configuration.age.has_value());
  CHECK_FALSE(std::get<GateFailure>(frames[4].body).load.has_value());
  CHECK(std::get<LinkMember>(frames[5].body).record == record);
  CHECK(std::get<LinkCrashEvidence>(frames[6].body).evidence == evidence);
}

// Guards against framing overhead that fills a link of 5 Mbit/s, when it
// carries thousands of small calls a second next to large responses.
SCENARIO("a small call is encoded in fewer bytes than its fields") {
  GateCall call = MakeCall(0);
  call.request_id = "9c41d07be2a35f68";
  call.headers = {{"Host", "ficu95.example"},
                  {"X-Request-Id", "9c41d07be2a35f68"},
                  {"User-Agent", "client"},
                  {"Accept", "*/*"}};
  std::size_t field_bytes = call.service.size() + call.caller_service.size() +
                            call.request_id.size() + call.rule.size() +
                            call.method.size() + call.target.size();
  for (const HttpHeader& header : call.headers) {
    field_bytes += header.name.size() + header.value.size();
  }
  Connection out;
  out.Append({1'000, call});
  const std::size_t first = out.bytes.size();
  call.request_id = "0b5e77aa01c4d29f";
  call.headers[1].value = call.request_id;
  call.target = "/p/q?x=2";
  out.Append({1'001, call});
  const std::size_t second = out.bytes.size() - first;
  CHECK(second < field_bytes);
  CHECK(second < first / 2);
  THEN("it is decoded as it was encoded") {
    const auto frames = Decode(out.bytes, out.bytes.size());
    REQUIRE(frames.size() == 2);
    const auto& decoded_call = std::get<GateCall>(frames[1].body);
    CHECK(frames[1].call == 1'001);
    CHECK(decoded_call.request_id == call.request_id);
    CHECK(decoded_call.headers[0].value == "ficu95.example");
    CHECK(decoded_call.headers[1].value == call.request_id);
    CHECK(decoded_call.target == call.target);
  }
}

SCENARIO("news of quotas and roll-outs are decoded as they were encoded") {
  Connection out;
  const QuotaNeed need{"academies", 12, 5, 2, 7, 9'500, {{60, 30}, 21}};
  const QuotaLoan loan{"academies", 5,   3, std::chrono::milliseconds(40),
                       true,        true};
  const RolloutReport report{
      {"booking", "v2", std::chrono::seconds(12), 77, 2, 530},
      std::chrono::seconds(7),
      RolloutState::kRolledBack,
      true,
      "n-1",
      4,
      3,
      {{"r-1", "n-7", true, false, 9, 3, {0, 4, 2}},
       {"r-1", "", false, true, 90, 1, {89}}}};
  out.Append({0, LinkQuotaNeeds{{need}}});
  out.Append({0, LinkQuotaLoans{{loan, loan}}});
  out.Append({0, LinkRollouts{{report}}});
  out.Append({0, LinkRollouts{{report}, std::chrono::seconds(3)}});
  out.Append({0, LinkRollouts{{}, std::nullopt, true}});
  const auto frames = Decode(out.bytes, out.bytes.size());
  REQUIRE(frames.size() == 5);
  CHECK(std::get<LinkRollouts>(frames[3].body).age == std::chrono::seconds(3));
  CHECK(std::get<LinkRollouts>(frames[3].body).reports.size() == 1);
  CHECK(std::get<LinkRollouts>(frames[4].body).asks);
  CHECK(std::get<LinkQuotaNeeds>(frames[0].body).needs ==
        std::vector<QuotaNeed>{need});
  CHECK(std::get<LinkQuotaLoans>(frames[1].body).loans ==
        std::vector<QuotaLoan>{loan, loan});
  CHECK(std::get<LinkRollouts>(frames[2].body).reports ==
        std::vector<RolloutReport>{report});
}

SCENARIO("news of instances are decoded as they were encoded") {
  Connection out;
  const InstanceNotice notice{"i-1", 8.5, true, 1'000};
  out.Append({0, LinkInstanceNotice{notice}});
  out.Append({0, LinkMemberKnown{9}});
  MemberRecord record;
  record.member.name = "n1";
  record.owns_quota_parts = true;
  out.Append({0, LinkMembersWanted{}});
  out.Append({0, LinkMembers{{record, record}, true, true}});
  const auto frames = Decode(out.bytes, out.bytes.size());
  REQUIRE(frames.size() == 4);
  CHECK(std::holds_alternative<LinkMembersWanted>(frames[2].body));
  const auto& members = std::get<LinkMembers>(frames[3].body);
  CHECK(members.records == std::vector<MemberRecord>{record, record});
  CHECK(members.sender_owns_quota_parts);
  CHECK(members.receiver_owned_quota_parts);
  CHECK(std::get<LinkInstanceNotice>(frames[0].body).notice == notice);
  CHECK(std::get<LinkMemberKnown>(frames[1].body).sequence == 9);
}

SCENARIO("parts of quotas are decoded as they were encoded") {
  Connection out;
  const QuotaPartRequest request{
      7, 3, std::chrono::milliseconds(800), {~0ULL, 5}};
  const QuotaPartGrant grant{
      7, true, std::chrono::milliseconds(5), 3, 5, {~0ULL, 1}, {2}, {0, 5}};
  out.Append({0, LinkQuotaPartRequest{request}});
  out.Append({0, LinkQuotaPartGrant{grant}});
  out.Append({0, LinkQuotaPartChanged{}});
  const auto frames = Decode(out.bytes, out.bytes.size());
  REQUIRE(frames.size() == 3);
  CHECK(std::get<LinkQuotaPartRequest>(frames[0].body).request == request);
  CHECK(std::get<LinkQuotaPartGrant>(frames[1].body).grant == grant);
  CHECK(std::holds_alternative<LinkQuotaPartChanged>(frames[2].body));
}

// Each node sends such a report to three judges, every 500 ms at 87 nodes and
// every 2 s at 690.
SCENARIO("a report of outcomes is small") {
  RolloutReport report;
  report.order = {"programme-svc", "v2", std::chrono::seconds(60), 77, 2, 530};
  report.node = "sidecar-whk-a-12";
  for (const char* rule : {"session-read", "booking-commit"}) {
    for (const char* instance : {"", "sidecar-whk-b-3", "sidecar-whk-c-9"}) {
      for (const bool full : {false, true}) {
        report.outcomes.push_back(
            {rule, instance, full, false, 40, 1, {0, 0, 0, 0, 3, 9, 20, 5, 2}});
      }
    }
  }
  Connection out;
  out.Append({0, LinkRollouts{{report}}});
  INFO(out.bytes.size());
  CHECK(out.bytes.size() <= 2'500);
}

SCENARIO("malformed bytes are rejected") {
  SmallTextDeltas deltas;
  LinkReader reader(&deltas);
  GIVEN("a length above the maximum frame size") {
    const std::string garbage(64, '\xff');
    reader.Append(garbage.data(), garbage.size());
    CHECK(std::holds_alternative<LinkCodecError>(reader.Next()));
  }
  GIVEN("a valid length followed by an invalid message") {
    const std::string garbage =
        std::string("\x10\0\0\0", 4) + std::string(16, '\xee');
    reader.Append(garbage.data(), garbage.size());
    CHECK(std::holds_alternative<LinkCodecError>(reader.Next()));
  }
  GIVEN("a truncated message") {
    Connection out;
    out.Append({7, MakeCall(100)});
    out.bytes.resize(out.bytes.size() / 2);
    out.bytes[0] = static_cast<char>(out.bytes.size() - 4);
    reader.Append(out.bytes.data(), out.bytes.size());
    CHECK(std::holds_alternative<LinkCodecError>(reader.Next()));
  }
}

}  // namespace
}  // namespace verbenastile
