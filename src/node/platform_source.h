// Follows the head object on the platform and assembles accepted generations
// into snapshots. The session's state machine is defined in
// charts/platform_session.yaml.
#ifndef NODE_PLATFORM_SOURCE_H_
#define NODE_PLATFORM_SOURCE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "core/delta.h"
#include "core/rules_head.h"
#include "core/snapshot_history.h"
#include "core/state_chart.h"
#include "io/platform_client.h"

namespace verbenastile {

struct PlatformSourceHooks {
  // Called with the version that the head names, or with a default-constructed
  // Version if there is no head.
  std::function<void(const Version&)> on_head;
  // Called with the snapshot that `Fetch` read.
  std::function<void(SnapshotPointer)> on_snapshot;
  // Returns the snapshot in force, whose items need not be read again. May
  // return null.
  std::function<SnapshotPointer()> held;
};

// Lists and watches the head, and reads only those chunks of a generation that
// are not held already.
class PlatformSource {
 public:
  // `chart` must outlive the source.
  PlatformSource(asio::io_context& io,
                 PlatformClient& platform,
                 const StateChart* chart,
                 std::uint32_t seed,
                 PlatformSourceHooks hooks);
  PlatformSource(const PlatformSource&) = delete;
  PlatformSource& operator=(const PlatformSource&) = delete;

  // Starts to list and watch the head.
  void Follow();
  void Stop();

  // Reads the content of the most recent head.
  void Fetch();

  bool following() const { return following_; }
  // The state of the session: "listing", "watching" or "waiting".
  std::string_view session_state() const { return machine_.state(); }

 private:
  struct FetchState;

  void Fire(std::string_view event);
  void RunAction(std::string_view action);
  void ListHead();
  void OnList(const PlatformList& list);
  void WatchHead();
  void ScheduleRetry();
  void OnHead(const PlatformObject& object);
  void AddHeldChunks();
  void FetchNextChunk(const std::shared_ptr<FetchState>& fetch);
  void ReadChunk(const std::shared_ptr<FetchState>& fetch);
  bool StoreChunk(const std::string& name, const PlatformObject& object);
  void FinishFetch(const FetchState& fetch);
  void EraseUnusedChunks(const RulesHead& head);

  PlatformClient& platform_;
  const StateChart* chart_;
  ChartMachine machine_;
  asio::steady_timer timer_;
  asio::steady_timer pace_timer_;
  std::mt19937 random_;
  PlatformSourceHooks hooks_;
  std::string resource_version_;
  HttpCallHandle call_;
  HttpCallHandle fetch_call_;
  unsigned failures_ = 0;
  bool following_ = false;
  std::uint64_t fetch_number_ = 0;  // Older fetches are abandoned.
  std::optional<RulesHead> head_;
  std::map<std::string, RulesChunk, std::less<>> chunks_;
  Digest chunks_from_;  // Digest of the snapshot last added to `chunks_`.
};

}  // namespace verbenastile

#endif  // NODE_PLATFORM_SOURCE_H_
