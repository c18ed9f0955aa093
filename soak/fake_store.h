// A small fake of the platform: the head, its content, and its faults.
#ifndef SOAK_FAKE_STORE_H_
#define SOAK_FAKE_STORE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/rules.h"
#include "core/rules_head.h"
#include "core/snapshot_history.h"

namespace verbenastile {

// What one conditional write came to.
enum class FakeWrite { kMade, kConflict, kUnanswered };

class FakeStore {
 public:
  // One accepted state: all of it goes into and comes out of a backup.
  struct State {
    SnapshotPointer head;  // Null before the first change.
    RuleDocument document;
    std::uint64_t resource_version = 0;
    std::set<std::string> operations;
  };

  bool up = true;
  bool loses_answers = false;

  const State& state() const { return state_; }
  Version version() const {
    return state_.head ? VersionOf(*state_.head) : Version{};
  }
  Generation generation() const { return version().generation; }

  // Writes `document` as the next generation, unless the head is not at
  // `resource_version` any more.
  FakeWrite Write(std::uint64_t resource_version,
                  const RuleDocument& document,
                  const std::string& operation) {
    if (!up) {
      return FakeWrite::kUnanswered;
    }
    if (resource_version != state_.resource_version) {
      return FakeWrite::kConflict;
    }
    ++state_.resource_version;
    state_.document = document;
    state_.operations.insert(operation);
    ++made_[operation];
    state_.head = std::make_shared<const Snapshot>(
        MakeSnapshot(generation() + 1, document));
    accepted_.emplace(version(), state_.head);
    return loses_answers ? FakeWrite::kUnanswered : FakeWrite::kMade;
  }

  void Save() { backup_ = state_; }
  void Restore() {
    if (backup_) {
      // Versions of a restored store go on above all that were given out.
      const std::uint64_t above = state_.resource_version + 1;
      state_ = *backup_;
      state_.resource_version = above;
      made_.clear();
    }
  }

  // Whether the store ever accepted `version`.
  bool Accepted(const Version& version) const {
    return accepted_.contains(version);
  }
  // Null when it was never accepted.
  SnapshotPointer Content(const Version& version) const {
    const auto accepted = accepted_.find(version);
    return accepted == accepted_.end() ? nullptr : accepted->second;
  }
  // How often the operation took effect.
  int TimesMade(const std::string& operation) const {
    const auto made = made_.find(operation);
    return made == made_.end() ? 0 : made->second;
  }
  void ForgetOperation(const std::string& operation) { made_.erase(operation); }

 private:
  State state_;
  std::optional<State> backup_;
  std::map<Version, SnapshotPointer> accepted_;
  std::map<std::string, int> made_;
};

}  // namespace verbenastile

#endif  // SOAK_FAKE_STORE_H_
