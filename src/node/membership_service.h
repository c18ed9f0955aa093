// Runs the membership protocol: datagrams at the control address, the member
// directory that the rest of the node reads, seeds from settings and rosters.
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

// What the service works with; all must outlive it.
struct MembershipServiceParts {
  const Settings* settings = nullptr;
  PlatformClient* platform = nullptr;
  MemberDirectory* directory = nullptr;
  Metrics* metrics = nullptr;
};

class MembershipService {
 public:
  // `self` is what the node says of itself at first.
  MembershipService(asio::io_context& io,
                    const MembershipServiceParts& parts,
                    const Member& self,
                    std::uint32_t seed);
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  // Joins the fleet. Returns the error when the control address cannot be
  // bound; empty: none.
  std::string Open();
  void Close();

  // Tells the fleet that the node's state has changed.
  void Announce(MemberState state, bool serving);

  const MembershipStats& stats() const { return membership_.stats(); }

 private:
  // A count of the protocol that is shown as a metric.
  struct CountedStat {
    std::uint64_t MembershipStats::*stat = nullptr;
    CounterHandle counter;
    std::uint64_t shown = 0;
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
  void ShowMetrics();

  MembershipServiceParts parts_;
  Membership membership_;
  std::uint32_t cluster_;
  DatagramSocket socket_;
  asio::steady_timer tick_;
  RosterKeeper roster_;
  std::uint64_t shown_revision_ = 0;
  std::vector<CountedStat> counted_;
  CounterHandle sent_bytes_;
  CounterHandle received_bytes_;
  CounterHandle sent_datagrams_;
  CounterHandle received_datagrams_;
  CounterHandle unsent_datagrams_;
  GaugeHandle health_;
};

}  // namespace verbenastile

#endif  // NODE_MEMBERSHIP_SERVICE_H_
