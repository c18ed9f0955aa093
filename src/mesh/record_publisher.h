// Keeps this node's member record in the platform's store up to date, with
// conditional writes.
#ifndef MESH_RECORD_PUBLISHER_H_
#define MESH_RECORD_PUBLISHER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "mesh/object_store.h"

namespace verbenastile {

class RecordPublisher {
 public:
  struct Init {
    asio::io_context* io = nullptr;
    ObjectStore* store = nullptr;
    std::string kind;
    std::string name;
    std::uint64_t seed = 0;
  };

  explicit RecordPublisher(Init init);
  RecordPublisher(const RecordPublisher&) = delete;
  RecordPublisher& operator=(const RecordPublisher&) = delete;

  // Writes `spec`, overwriting the record of an earlier run of this node.
  // `on_written` runs once the store holds `spec` or a later one.
  void Publish(std::string spec, std::function<void()> on_written);
  // Runs `on_written` once the store holds the last published record: at once
  // if no write is pending.
  void WhenWritten(std::function<void()> on_written);
  // Whether the store holds the last record that was published, if any.
  bool is_written() const { return version_ != 0 && !write_pending_; }
  // Deletes the record in a single attempt, without retries.
  void Delete();
  // Reports that the store holds the record at `revision`.
  void UpdateRevision(StoreRevision revision);
  // The store was restored from a backup that may lack the record, and is in
  // `era` now. Writes the record again soon, unless it was written since.
  void OnStoreRestored(StoreEra era);

 private:
  void Write();
  void ScheduleWrite(Duration delay);
  void OnDone(std::uint64_t version, const StoreResult<StoreObject>& result);
  void OnError(const StoreError& error);

  Init init_;
  asio::steady_timer timer_;
  Random random_;
  std::string spec_;
  std::uint64_t version_ = 0;   // Incremented by each `Publish`.
  StoreRevision revision_ = 0;  // 0: the store is assumed to have no record.
  StoreEra revision_era_ = 0;   // The era that `revision_` belongs to.
  StoreEra written_era_ = 0;    // The era of the last successful write.
  // A restore to this era was reported during a write that may precede it.
  StoreEra unconfirmed_era_ = 0;
  bool write_pending_ = false;
  unsigned failures_ = 0;
  std::vector<std::function<void()>> write_callbacks_;
};

}  // namespace verbenastile

#endif  // MESH_RECORD_PUBLISHER_H_
