// Reads the rosters from the platform when this node needs seeds, and maintains
// its failure domain's roster if it is one of the keepers. In a steady state,
// the only platform calls are a keeper's infrequent reads of its roster.
#ifndef NODE_ROSTER_KEEPER_H_
#define NODE_ROSTER_KEEPER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "core/member_directory.h"
#include "core/roster.h"
#include "io/platform_client.h"

namespace verbenastile {

class RosterKeeper {
 public:
  using SeedsHandler = std::function<void(std::vector<SocketAddress>)>;

  // `platform` and `directory` must outlive the keeper. `on_seeds` receives the
  // control addresses of the members listed in rosters.
  RosterKeeper(asio::io_context& io,
               PlatformClient& platform,
               const MemberDirectory& directory,
               Member self,
               std::uint32_t seed,
               SeedsHandler on_seeds);
  RosterKeeper(const RosterKeeper&) = delete;
  RosterKeeper& operator=(const RosterKeeper&) = delete;

  void Start();
  void Stop();

  // Schedules a read of the rosters, with exponential back-off and jitter.
  void WantSeeds();

  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

 private:
  void Read();
  void OnRosters(const PlatformList& list);
  void ScheduleCheck(Duration delay);
  void Check();
  // Reads the local failure domain's roster and rewrites it if necessary.
  void Repair();
  void OnOwnRoster(const PlatformResult<PlatformObject>& result);
  void Write(const std::optional<PlatformObject>& object, const Roster& mended);
  bool KnowsAll(const Roster& roster) const;
  Duration UpTo(Duration longest);

  PlatformClient& platform_;
  const MemberDirectory& directory_;
  Member self_;
  SeedsHandler on_seeds_;
  asio::steady_timer read_timer_;
  asio::steady_timer check_timer_;
  std::mt19937 random_;
  std::optional<Roster> known_;  // Local roster as last read or written.
  bool read_pending_ = false;
  bool repair_pending_ = false;
  bool stopped_ = false;
  bool was_invalid_ = false;  // Roster was invalid at the last check.
  unsigned read_attempts_ = 0;
  Time last_wanted_;
  Time next_reread_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace verbenastile

#endif  // NODE_ROSTER_KEEPER_H_
