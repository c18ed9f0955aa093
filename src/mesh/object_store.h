// The platform's store as the mesh uses it: objects by kind and name, changed
// under conditions, listed and watched. One call is one request to the store.
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

namespace verbenastile {

// Counts the store's changes; each object has that of its last one.
using StoreRevision = std::int64_t;

struct StoreObject {
  std::string name;
  StoreRevision revision = 0;
  std::string spec;  // JSON, as it came.
};

struct StoreError {
  enum class Kind : std::uint8_t {
    kNotFound,
    kConflict,     // Another revision, or the name exists.
    kHistoryGone,  // The watch is too old: list again.
    kNotDone,      // Refused or not sent: nothing has changed.
    kUnknown,      // No answer: a change may have been made, or may be yet.
    kMalformed,    // An answer that cannot be read.
  };

  Kind kind = Kind::kUnknown;
  std::string detail;
  std::optional<StoreObject> current;  // With a conflict: the object as it is.
};

// The name of `kind` in lower case.
std::string_view ToString(StoreError::Kind kind);

struct StoreList {
  std::vector<StoreObject> items;
  StoreRevision revision = 0;  // To watch from.
};

struct StoreEvent {
  StoreObject object;
  bool deleted = false;
};

struct StoreEvents {
  std::vector<StoreEvent> events;
  StoreRevision revision = 0;  // To watch on from.
};

template <typename T>
using StoreResult = std::variant<T, StoreError>;

// Names a call under way; 0 names none.
using StoreCallId = std::uint64_t;

class ObjectStore {
 public:
  using ObjectHandler = std::function<void(StoreResult<StoreObject>)>;
  using ListHandler = std::function<void(StoreResult<StoreList>)>;
  using EventsHandler = std::function<void(StoreResult<StoreEvents>)>;

  virtual ~ObjectStore() = default;

  // All objects of `kind`, by as many requests as that takes. Stale reads may
  // miss the changes of some seconds, and cost the platform less.
  enum class Freshness : std::uint8_t { kCurrent, kMayBeStale };
  virtual StoreCallId List(std::string_view kind,
                           Freshness freshness,
                           ListHandler on_done) = 0;
  // The changes since `revision`, as soon as there is one, or none after
  // `wait`.
  virtual StoreCallId Watch(std::string_view kind,
                            StoreRevision revision,
                            Duration wait,
                            EventsHandler on_done) = 0;
  virtual StoreCallId Create(std::string_view kind,
                             const StoreObject& object,
                             ObjectHandler on_done) = 0;
  // Conflicts unless the object still has `object.revision`.
  virtual StoreCallId Replace(std::string_view kind,
                              const StoreObject& object,
                              ObjectHandler on_done) = 0;
  // Conflicts unless the object still has `object.revision`.
  virtual StoreCallId Delete(std::string_view kind,
                             const StoreObject& object,
                             ObjectHandler on_done) = 0;
  // The handler does not run any more.
  virtual void Cancel(StoreCallId id) = 0;

  // Requests so far.
  virtual std::uint64_t calls() const = 0;
};

}  // namespace verbenastile

#endif  // MESH_OBJECT_STORE_H_
