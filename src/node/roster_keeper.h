// Announces this node in its failure domain's roster at the platform, and
// reads the rosters of all.
#ifndef NODE_ROSTER_KEEPER_H_
#define NODE_ROSTER_KEEPER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <random>

#include "core/member_directory.h"
#include "core/roster.h"
#include "core/rules_head.h"
#include "io/platform_client.h"

namespace verbenastile {

class RosterKeeper {
 public:
  // `directory` is filled from the rosters and must outlive the keeper.
  RosterKeeper(asio::io_context& io,
               PlatformClient& platform,
               MemberDirectory& directory,
               std::uint32_t seed);
  RosterKeeper(const RosterKeeper&) = delete;
  RosterKeeper& operator=(const RosterKeeper&) = delete;

  // Reads the rosters; `self` is not announced yet.
  void Start(Member self);
  // Says `self` from now on.
  void Announce(Member self);
  void Stop();

 private:
  void Poll();
  void ScheduleNext();
  void OnRosters(const PlatformList& list);
  void WriteSelf(const PlatformObject* known);

  PlatformClient& platform_;
  MemberDirectory& directory_;
  asio::steady_timer timer_;
  std::mt19937 random_;
  Member self_;
  bool stopped_ = false;
  bool polling_ = false;
  bool announced_ = false;
};

}  // namespace verbenastile

#endif  // NODE_ROSTER_KEEPER_H_
