// The quotas of a node and what it learns of the members.
#include "mesh/quota_service.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "core/quota_peers.h"

namespace verbenastile {
namespace {

constexpr Duration kPause = std::chrono::milliseconds(20);
constexpr int kMaxAttempts = 500;

MemberRecord Record(const char* name, std::uint64_t sequence) {
  MemberRecord record;
  record.member.name = name;
  record.member.incarnation = 1;
  record.sequence = sequence;
  return record;
}

// Guards against an owner that goes on with a larger part than the others count
// it with, since it has not noticed that another node joins (rule QUOTA,
// review/9 on a busy machine).
SCENARIO(
    "an owner counts a member whose record changes only in that it joins") {
  MemberRegistry registry("n1");
  registry.Merge(Record("n1", 1), SteadyNow());
  registry.Merge(Record("n2", 1), SteadyNow());
  registry.SetLinked("n2", true, SteadyNow());
  Metrics metrics;
  QuotaService::Init init;
  init.node_name = "n1";
  init.member_registry = &registry;
  init.send = [](std::string_view, const LinkFrame&) { return true; };
  init.incoming_members = [] {
    return std::set<std::string, std::less<>>{"n2"};
  };
  init.metrics = &metrics;
  // It owned parts before it was started again.
  init.standing = [] { return QuotaStanding{true, true, true, false}; };
  init.confirmed_by = [] { return std::set<std::string, std::less<>>(); };
  init.join_requests = [] { return std::set<std::string, std::less<>>(); };
  QuotaService quotas(init);
  Group group;
  group.name = "tenant";
  group.requests = {60, 60};
  quotas.SetGroups({group}, 1);

  const QuotaPartRequest request{
      1, 0, kQuotaPartLifetime, {QuotaDigest("tenant")}};
  QuotaPartGrant grant = quotas.OnPartRequest("n2", request);
  for (int i = 0; i < kMaxAttempts && !grant.granted; ++i) {
    std::this_thread::sleep_for(kPause);
    grant = quotas.OnPartRequest("n2", request);
  }
  REQUIRE(grant.owners == std::vector<std::uint8_t>{1});

  MemberRecord joining = Record("n2", 2);
  joining.joins_owners = true;
  REQUIRE(registry.Merge(joining, SteadyNow()));
  grant = quotas.OnPartRequest("n2", request);
  CHECK(grant.granted);
  CHECK(grant.owners == std::vector<std::uint8_t>{2});
}

}  // namespace
}  // namespace verbenastile
