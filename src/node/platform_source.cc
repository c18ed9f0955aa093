#include "node/platform_source.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <set>

#include "base/log.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "platform";
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(5);
constexpr unsigned kMaxDoublings = 6;
// A fetch reads this many chunks without a pause, and waits for `kChunkDelay`
// before each further one.
constexpr std::size_t kMaxUndelayedReads = 8;
constexpr Duration kChunkDelay = std::chrono::milliseconds(25);

}  // namespace

// The progress of fetching the snapshot that a head names.
struct PlatformSource::FetchState {
  std::uint64_t number = 0;
  RulesHead head;
  std::vector<RulesChunk> chunks;
  std::size_t reads = 0;
};

PlatformSource::PlatformSource(asio::io_context& io,
                               PlatformClient& platform,
                               const StateChart* chart,
                               std::uint32_t seed,
                               PlatformSourceHooks hooks)
    : platform_(platform),
      chart_(chart),
      machine_(chart),
      timer_(io),
      pace_timer_(io),
      random_(seed),
      hooks_(std::move(hooks)) {}

void PlatformSource::Follow() {
  if (following_) {
    return;
  }
  following_ = true;
  machine_ = ChartMachine(chart_);
  ListHead();
}

void PlatformSource::Stop() {
  following_ = false;
  ++fetch_number_;
  timer_.cancel();
  pace_timer_.cancel();
  platform_.Cancel(call_);
  platform_.Cancel(fetch_call_);
}

void PlatformSource::Fire(std::string_view event) {
  if (!following_) {
    return;
  }
  for (const std::string& action : machine_.Fire(event).actions) {
    RunAction(action);
  }
}

void PlatformSource::RunAction(std::string_view action) {
  if (action == "list") {
    ListHead();
  } else if (action == "watch") {
    WatchHead();
  } else if (action == "schedule_retry") {
    ScheduleRetry();
  }
}

void PlatformSource::ListHead() {
  call_ =
      platform_.List(kHeadKind, [this](PlatformResult<PlatformList> result) {
        if (const auto* error = std::get_if<PlatformError>(&result)) {
          Log(LogLevel::kWarning, kLogComponent, "Listing the head failed.",
              {{"kind", ToString(error->kind)}, {"detail", error->detail}});
          Fire("list_failed");
          return;
        }
        OnList(std::get<PlatformList>(result));
      });
}

void PlatformSource::OnList(const PlatformList& list) {
  failures_ = 0;
  resource_version_ = list.resource_version;
  for (const PlatformObject& object : list.items) {
    OnHead(object);
  }
  if (list.items.empty()) {
    hooks_.on_head({});
  }
  Fire("listed");
}

void PlatformSource::WatchHead() {
  call_ = platform_.Watch(
      kHeadKind, kHeadName, resource_version_,
      [this](const WatchEvent& event) {
        resource_version_ = event.object.resource_version;
        if (event.kind == WatchEvent::Kind::kPut) {
          OnHead(event.object);
        }
      },
      [this](const std::optional<PlatformError>& error) {
        if (!error) {
          Fire("watch_ended");
          return;
        }
        Log(LogLevel::kInfo, kLogComponent, "Watching the head failed.",
            {{"kind", ToString(error->kind)}, {"detail", error->detail}});
        const bool too_old = error->kind == PlatformError::Kind::kGone;
        Fire(too_old ? "watch_too_old" : "watch_failed");
      });
}

void PlatformSource::ScheduleRetry() {
  const Duration longest =
      std::min(kMaxRetryDelay,
               kInitialRetryDelay * (1U << std::min(failures_, kMaxDoublings)));
  ++failures_;
  std::uniform_int_distribution<std::int64_t> jitter(0, longest.count());
  timer_.expires_after(Duration(jitter(random_)));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Fire("retry_due");
    }
  });
}

void PlatformSource::OnHead(const PlatformObject& object) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(head, ParseHead(object.spec));
        head_ = std::move(head);
        hooks_.on_head({head_->generation, head_->digest});
        return {};
      },
      [](const HeadError& error) {
        Log(LogLevel::kError, kLogComponent, "The head is malformed.",
            {{"reason", error.reason}});
      },
      [] { Log(LogLevel::kError, kLogComponent, "The head is malformed."); });
}

void PlatformSource::Fetch() {
  if (!head_ || !following_) {
    return;
  }
  AddHeldChunks();
  auto fetch = std::make_shared<FetchState>();
  fetch->number = ++fetch_number_;
  fetch->head = *head_;
  platform_.Cancel(fetch_call_);
  FetchNextChunk(fetch);
}

// Splits the snapshot in force, which may have come from a peer, into chunks in
// the same way as the operator's tool, so that its chunks match those on the
// platform.
void PlatformSource::AddHeldChunks() {
  const SnapshotPointer held = hooks_.held();
  if (!held || held->digest == chunks_from_) {
    return;
  }
  chunks_from_ = held->digest;
  for (RulesChunk& chunk : SplitIntoChunks(held->items)) {
    std::string name = chunk.name;
    chunks_.try_emplace(std::move(name), std::move(chunk));
  }
}

void PlatformSource::FetchNextChunk(const std::shared_ptr<FetchState>& fetch) {
  while (fetch->chunks.size() < fetch->head.chunks.size()) {
    const auto held = chunks_.find(fetch->head.chunks[fetch->chunks.size()]);
    if (held == chunks_.end()) {
      break;
    }
    fetch->chunks.push_back(held->second);
  }
  if (fetch->chunks.size() == fetch->head.chunks.size()) {
    FinishFetch(*fetch);
    return;
  }
  if (fetch->reads++ < kMaxUndelayedReads) {
    ReadChunk(fetch);
    return;
  }
  pace_timer_.expires_after(kChunkDelay);
  pace_timer_.async_wait([this, fetch](const asio::error_code& error) {
    const SnapshotPointer held = hooks_.held();
    const bool done = held && held->digest == fetch->head.digest;
    if (!error && !done && fetch->number == fetch_number_) {
      ReadChunk(fetch);
    }
  });
}

void PlatformSource::ReadChunk(const std::shared_ptr<FetchState>& fetch) {
  const std::string name = fetch->head.chunks[fetch->chunks.size()];
  fetch_call_ =
      platform_.Get(kChunkKind, name,
                    [this, fetch, name](PlatformResult<PlatformObject> result) {
                      if (!following_ || fetch->number != fetch_number_) {
                        return;
                      }
                      const auto* object = std::get_if<PlatformObject>(&result);
                      if (object == nullptr) {
                        platform_.Cancel(call_);
                        Fire("watch_failed");
                        return;
                      }
                      if (StoreChunk(name, *object)) {
                        FetchNextChunk(fetch);
                      }
                    });
}

// Stores the chunk in `object`. Returns false if it is malformed or does not
// match its name.
bool PlatformSource::StoreChunk(const std::string& name,
                                const PlatformObject& object) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(chunk, ParseChunk(name, object.spec));
        chunks_.insert_or_assign(name, std::move(chunk));
        return true;
      },
      [](const HeadError& error) {
        Log(LogLevel::kError, kLogComponent, "A chunk is malformed.",
            {{"reason", error.reason}});
        return false;
      },
      [] { return false; });
}

void PlatformSource::FinishFetch(const FetchState& fetch) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(snapshot, AssembleSnapshot(fetch.head, fetch.chunks));
        EraseUnusedChunks(fetch.head);
        hooks_.on_snapshot(
            std::make_shared<const Snapshot>(std::move(snapshot)));
        return {};
      },
      [](const HeadError& error) {
        Log(LogLevel::kError, kLogComponent, "A generation is damaged.",
            {{"reason", error.reason}});
      },
      [] { Log(LogLevel::kError, kLogComponent, "A generation is damaged."); });
}

void PlatformSource::EraseUnusedChunks(const RulesHead& head) {
  const std::set<std::string, std::less<>> wanted(head.chunks.begin(),
                                                  head.chunks.end());
  std::erase_if(chunks_, [&](const auto& chunk) {
    return !wanted.contains(chunk.first);
  });
}

}  // namespace verbenastile
