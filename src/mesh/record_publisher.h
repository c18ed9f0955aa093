// Keeps this node's record in the platform's store equal to what the node says
// of itself, by conditional writes.
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

  // Writes `spec`, also over what an earlier start of this node wrote.
  // `on_written` runs when the store has it, or a later one.
  void Publish(std::string spec, std::function<void()> on_written);
  // Deletes the record, once.
  void Delete();
  // The store holds the record at `revision`.
  void OnSeen(StoreRevision revision);

 private:
  void Write();
  void OnDone(std::uint64_t version, const StoreResult<StoreObject>& result);
  void OnError(const StoreError& error);

  Init init_;
  asio::steady_timer timer_;
  Random random_;
  std::string spec_;
  std::uint64_t version_ = 0;   // Counts what was published.
  StoreRevision revision_ = 0;  // 0: the store is thought to have none.
  bool dirty_ = false;
  bool busy_ = false;
  unsigned failures_ = 0;
  std::vector<std::function<void()>> waiting_;
};

}  // namespace verbenastile

#endif  // MESH_RECORD_PUBLISHER_H_
