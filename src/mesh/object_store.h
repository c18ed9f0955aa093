// The interface to the platform's object store: objects are identified by kind
// and name, listed, watched and updated with optimistic concurrency control.
#ifndef MESH_OBJECT_STORE_H_
#define MESH_OBJECT_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/time.h"
#include "core/store_era.h"

namespace verbenastile {

// Increases with each change in the store within one era. The revision of an
// object is that of its last change.
using StoreRevision = std::int64_t;

struct StoreObject {
  std::string name;
  StoreRevision revision = 0;
  std::string spec;  // Unparsed JSON.
  // The status that nodes report on the object, unparsed; empty: none.
  std::string status = {};
  // When the object was created, as the store says it; empty: not said.
  std::string created = {};
};

struct StoreError {
  enum class Kind : std::uint8_t {
    kNotFound,
    kConflict,     // The revision differs, or the name already exists.
    kHistoryGone,  // The revision to watch from is too old: list again.
    kNotDone,      // Refused or not sent: nothing has changed.
    kUnknown,      // No response: the change may be made, even later.
    kMalformed,    // The response cannot be parsed.
  };

  Kind kind = Kind::kUnknown;
  std::string detail;
  std::optional<StoreObject> current;  // On conflict: the stored object.
};

// Returns the name of `kind` in snake case.
std::string_view ToString(StoreError::Kind kind);

struct StoreList {
  std::vector<StoreObject> items;
  StoreRevision revision = 0;  // The revision to watch from.
  StoreEra era = 0;
};

struct StoreEvent {
  StoreObject object;
  bool deleted = false;
};

struct StoreEvents {
  std::vector<StoreEvent> events;
  StoreRevision revision = 0;  // The revision to continue from.
};

template <typename T>
using StoreResult = std::variant<T, StoreError>;

// Identifies a pending call; 0 identifies none.
using StoreCallId = std::uint64_t;

// Each call makes one request to the store, except `List`, which may make more.
class ObjectStore {
 public:
  using ObjectHandler = std::function<void(StoreResult<StoreObject>)>;
  using ListHandler = std::function<void(StoreResult<StoreList>)>;
  using EventsHandler = std::function<void(StoreResult<StoreEvents>)>;

  virtual ~ObjectStore() = default;

  // Lists all objects of `kind`, in as many requests as needed. Stale reads may
  // miss changes of the last few seconds, but cost the platform less.
  enum class Freshness : std::uint8_t { kCurrent, kMayBeStale };
  virtual StoreCallId List(std::string_view kind,
                           Freshness freshness,
                           ListHandler on_done) = 0;
  // Long poll: completes with the changes since `revision` as soon as there is
  // one, or with none after `wait`.
  virtual StoreCallId Watch(std::string_view kind,
                            StoreRevision revision,
                            Duration wait,
                            EventsHandler on_done) = 0;
  virtual StoreCallId Create(std::string_view kind,
                             const StoreObject& object,
                             ObjectHandler on_done) = 0;
  // Fails with `kConflict` unless the stored revision is `object.revision`.
  virtual StoreCallId Replace(std::string_view kind,
                              const StoreObject& object,
                              ObjectHandler on_done) = 0;
  // Replaces only the status. Fails with `kConflict` unless the stored revision
  // is `object.revision`.
  virtual StoreCallId ReplaceStatus(std::string_view kind,
                                    const StoreObject& object,
                                    ObjectHandler on_done) = 0;
  // Fails with `kConflict` unless the stored revision is `object.revision`.
  virtual StoreCallId Delete(std::string_view kind,
                             const StoreObject& object,
                             ObjectHandler on_done) = 0;
  // Cancels a pending call; its handler will not run.
  virtual void Cancel(StoreCallId id) = 0;

  // The number of requests sent so far.
  virtual std::uint64_t calls() const = 0;
  // The newest era that the store has reported. While a handler runs with a
  // result, this is the era of the result: responses of older eras are reported
  // as errors.
  virtual StoreEra era() const = 0;
};

}  // namespace verbenastile

#endif  // MESH_OBJECT_STORE_H_
