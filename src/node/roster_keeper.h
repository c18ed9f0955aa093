// Reads the rosters at the platform when this node knows nobody, and keeps the
// own failure domain's roster when it is one of its keepers. In quiet times it
// makes no calls but a keeper's rare look.
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

  // `platform` and `directory` must outlive the keeper. `on_seeds` gets the
  // addresses of the members that rosters name.
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

  // The rosters are to be read; soon at first, then less and less often.
  void WantSeeds();

  std::uint64_t reads() const { return reads_; }
  std::uint64_t writes() const { return writes_; }

 private:
  void Read();
  void OnRosters(const PlatformList& list);
  void ScheduleCheck(Duration delay);
  void Check();
  // Reads the own roster and writes it when it still has to be.
  void Mend();
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
  std::optional<Roster> known_;  // As last read or written.
  bool read_pending_ = false;
  bool mending_ = false;
  bool stopped_ = false;
  bool bad_before_ = false;  // At the last check.
  unsigned failed_reads_ = 0;
  Time last_wanted_;
  Time next_look_;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
};

}  // namespace verbenastile

#endif  // NODE_ROSTER_KEEPER_H_
