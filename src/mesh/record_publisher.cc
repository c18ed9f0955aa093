#include "mesh/record_publisher.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "store";

constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(100);
// Short enough for the records to be written again within two seconds after the
// store has recovered.
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);
constexpr unsigned kMaxDoublings = 3;
// After a restore of the store, all nodes write their records within this time,
// well before the two seconds after which a missing record counts as gone.
constexpr Duration kRewriteSpread = std::chrono::milliseconds(1'000);

}  // namespace

RecordPublisher::RecordPublisher(Init init)
    : init_(std::move(init)), timer_(*init_.io), random_(init_.seed) {}

void RecordPublisher::Publish(std::string spec,
                              std::function<void()> on_written) {
  if (on_written) {
    write_callbacks_.push_back(std::move(on_written));
  }
  spec_ = std::move(spec);
  ++version_;
  if (!write_pending_) {
    Write();
  }
}

void RecordPublisher::WhenWritten(std::function<void()> on_written) {
  if (write_pending_) {
    write_callbacks_.push_back(std::move(on_written));
  } else {
    on_written();
  }
}

void RecordPublisher::Write() {
  write_pending_ = true;
  const std::uint64_t version = version_;
  const auto on_done = [this, version](const StoreResult<StoreObject>& result) {
    OnDone(version, result);
  };
  const StoreObject object{init_.name, revision_, spec_};
  if (revision_ == 0) {
    init_.store->Create(init_.kind, object, on_done);
  } else {
    init_.store->Replace(init_.kind, object, on_done);
  }
}

void RecordPublisher::OnDone(std::uint64_t version,
                             const StoreResult<StoreObject>& result) {
  if (const auto* error = std::get_if<StoreError>(&result)) {
    OnError(*error);
    return;
  }
  write_pending_ = false;
  failures_ = 0;
  written_era_ = init_.store->era();
  UpdateRevision(std::get<StoreObject>(result).revision);
  if (version != version_) {
    Write();
    return;
  }
  if (std::exchange(unconfirmed_era_, 0) > written_era_) {
    ScheduleWrite(random_.UpTo(kRewriteSpread));
    return;
  }
  for (const auto& on_written : std::exchange(write_callbacks_, {})) {
    on_written();
  }
}

void RecordPublisher::OnError(const StoreError& error) {
  if (error.kind == StoreError::Kind::kConflict && error.current) {
    revision_ = error.current->revision;
    revision_era_ = init_.store->era();
  } else if (error.kind == StoreError::Kind::kNotFound) {
    revision_ = 0;
  }
  Log(LogLevel::kWarning, kLogComponent,
      "Failed to write the member record of this node.",
      {{"error", ToString(error.kind)},
       {"detail", error.detail},
       {"revision", revision_},
       {"failures", failures_}});
  const unsigned doublings = std::min(failures_, kMaxDoublings);
  ++failures_;
  ScheduleWrite(random_.Jitter50Percent(
      std::min(kFirstRetryDelay * (1U << doublings), kMaxRetryDelay)));
}

void RecordPublisher::ScheduleWrite(Duration delay) {
  write_pending_ = true;
  timer_.expires_after(delay);
  timer_.async_wait([this](const asio::error_code& cancelled) {
    if (!cancelled) {
      Write();
    }
  });
}

void RecordPublisher::OnStoreRestored(StoreEra era) {
  if (version_ == 0 || written_era_ >= era) {
    return;
  }
  if (write_pending_) {
    unconfirmed_era_ = era;
    return;
  }
  Log(LogLevel::kInfo, kLogComponent,
      "Writing the member record again because the store was restored.",
      {{"name", init_.name},
       {"written_era", written_era_},
       {"era", era},
       {"revision", revision_}});
  ScheduleWrite(random_.UpTo(kRewriteSpread));
}

void RecordPublisher::Delete() {
  if (revision_ != 0) {
    init_.store->Delete(
        init_.kind, {init_.name, revision_, {}},
        [](const StoreResult<StoreObject>& result) {
          if (const auto* error = std::get_if<StoreError>(&result)) {
            Log(LogLevel::kWarning, kLogComponent,
                "Failed to delete the member record of this node.",
                {{"error", ToString(error->kind)}, {"detail", error->detail}});
          }
        });
  }
}

void RecordPublisher::UpdateRevision(StoreRevision revision) {
  const StoreEra era = init_.store->era();
  revision_ = era == revision_era_ ? std::max(revision_, revision) : revision;
  revision_era_ = era;
}

}  // namespace verbenastile
