// Runs the membership protocol over datagrams at the control address, maintains
// the member directory, and obtains seeds from settings and rosters.
#ifndef NODE_MEMBERSHIP_SERVICE_H_
#define NODE_MEMBERSHIP_SERVICE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "config/settings.h"
#include "core/member_directory.h"
#include "core/membership.h"
#include "io/datagram_socket.h"
#include "io/platform_client.h"
#include "node/roster_keeper.h"

namespace verbenastile {

// Dependencies of the service. All must outlive it.
struct MembershipServiceParts {
  const Settings* settings = nullptr;
  PlatformClient* platform = nullptr;
  MemberDirectory* directory = nullptr;
  Metrics* metrics = nullptr;
};

class MembershipService {
 public:
  // `self` is the initial state of the local member.
  MembershipService(asio::io_context& io,
                    const MembershipServiceParts& parts,
                    const Member& self,
                    std::uint32_t seed);
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  // Joins the fleet. Returns an error if the control address cannot be bound,
  // or an empty string.
  std::string Open();
  void Close();

  // Announces a change of this node's state to the fleet.
  void Announce(MemberState state, bool serving);

  const MembershipStats& stats() const { return membership_.stats(); }

 private:
  // A protocol statistic that is exported as a counter.
  struct ExportedStat {
    std::uint64_t MembershipStats::*stat = nullptr;
    CounterHandle counter;
    std::uint64_t exported = 0;
  };

  void OnDatagram(const SocketAddress& from,
                  std::span<const std::byte> datagram);
  void RunActions();
  void RunAction(const SendGossip& send);
  void RunAction(const MemberChanged& changed);
  void RunAction(const MemberForgotten& forgotten);
  void RunAction(const NeedSeeds& need);
  void RunAction(const NameConflict& conflict);
  void ScheduleTick();
  void ExportMetrics();

  MembershipServiceParts parts_;
  Membership membership_;
  std::uint32_t cluster_;
  DatagramSocket socket_;
  asio::steady_timer tick_;
  RosterKeeper roster_;
  std::uint64_t exported_revision_ = 0;
  std::vector<ExportedStat> exported_stats_;
  CounterHandle sent_bytes_;
  CounterHandle received_bytes_;
  CounterHandle sent_datagrams_;
  CounterHandle received_datagrams_;
  CounterHandle unsent_datagrams_;
  GaugeHandle health_;
};

}  // namespace verbenastile

#endif  // NODE_MEMBERSHIP_SERVICE_H_
