// Connects what this node knows of roll-outs with the platform's store and with
// the other nodes: reads orders, spreads them and the verdicts, reports
// outcomes to the judges, and writes the status of orders.
#ifndef MESH_ROLLOUT_SERVICE_H_
#define MESH_ROLLOUT_SERVICE_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/metrics.h"
#include "base/random.h"
#include "core/member_registry.h"
#include "core/rollout_book.h"
#include "core/state_chart.h"
#include "mesh/link_hub.h"
#include "mesh/object_store.h"
#include "mesh/store_follower.h"

namespace verbenastile {

class RolloutService {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    ObjectStore* store = nullptr;
    const StateChart* session_chart = nullptr;  // "platform_session".
    LinkHub* links = nullptr;
    const MemberRegistry* member_registry = nullptr;
    Metrics* metrics = nullptr;
    std::string node_name;
    std::uint64_t incarnation = 0;
    // The bound on the exposed share, over all nodes.
    double share = 0;
    std::uint64_t seed = 0;
    // The peers that watch the configuration in the store, by name.
    std::function<const std::map<std::string, Time, std::less<>>&()> readers;
  };

  explicit RolloutService(Init init);
  RolloutService(const RolloutService&) = delete;
  RolloutService& operator=(const RolloutService&) = delete;

  // Whether this node watches the configuration in the store. Few of the nodes
  // that do watch the orders too.
  void OnFollowsStore(bool follows);
  void OnStoreRestored(StoreEra era) { follower_.OnStoreRestored(era); }
  void Tick(Time now);
  void OnReports(std::string_view member, const LinkRollouts& message);
  // What a new link, or a peer that asks, is told; empty while this node does
  // not know all orders.
  std::optional<LinkRollouts> Shared(Time now) const;

  // The methods below are for the outbound proxy.
  //
  // Brings the held instances up to date with the directory.
  void Refresh(Time now);
  // Changes whenever `book().held()` may have changed.
  std::uint64_t holds_revision() const { return holds_revision_; }
  RolloutBook& book() { return book_; }

 private:
  // An order, state or word that is to be told to all linked members, unless
  // enough of them tell it first.
  struct Pending {
    Time due;
    unsigned heard = 0;
  };
  struct Writing {
    bool in_progress = false;
    Time next_try;
  };

  StoreFollower::Init FollowerInit();
  void UpdateFollowing(Time now);
  // Asks the store or its followers whether there is an order for a version
  // that is held until they say so.
  void AskForConfirmation(Time now);
  void OnObject(const StoreObject& object);
  void OnListed(const std::vector<StoreObject>& items);
  void OnChange(const RolloutBook::Change& change);
  void LogState(std::string_view why, const Rollout& rollout) const;
  void AnnounceAfter(std::string_view service, Duration delay);
  void Announce(const Rollout& rollout, Time now);
  void AnnounceDue(Time now);
  void SendReports(Time now);
  void SendReport(Rollout& rollout, Time now);
  void WriteStatuses(Time now);
  void Write(const Rollout& rollout, RolloutState state, Time now);
  void OnWritten(const std::string& service,
                 const StoreResult<StoreObject>& result);
  void UpdateMetrics(Time now);

  Init init_;
  RolloutBook book_;
  StoreFollower follower_;
  Random random_;
  std::uint64_t holds_revision_ = 1;
  bool follows_store_ = false;
  bool following_ = false;
  Time next_refresh_;
  Time next_report_;
  Time next_ask_;
  Time next_metrics_;
  std::uint64_t report_number_ = 0;
  std::map<std::string, Pending, std::less<>> pending_;
  std::map<std::string, Writing, std::less<>> writing_;
  // The judges that have had all counts, with their incarnations, by service.
  using Judges = std::vector<std::pair<std::string, std::uint64_t>>;
  std::map<std::string, Judges, std::less<>> reported_to_;
  // Revisions of malformed orders that were logged, by name.
  std::map<std::string, StoreRevision> malformed_;
};

}  // namespace verbenastile

#endif  // MESH_ROLLOUT_SERVICE_H_
