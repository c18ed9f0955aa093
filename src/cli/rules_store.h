// Reads the accepted rules and their audit trail from the platform, and
// performs the actions that the state machine `RuleChange` requests.
#ifndef CLI_RULES_STORE_H_
#define CLI_RULES_STORE_H_

#include <boost/leaf/result.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "cli/blocking_platform.h"
#include "core/rule_change.h"

namespace verbenastile {

// The head object and its resource version.
struct AcceptedHead {
  std::string resource_version;  // Empty before the first change.
  RulesHead head;
};

// The accepted rules, and the head that lists their chunks.
struct AcceptedRules {
  std::string resource_version;  // Empty before the first change.
  RulesHead head;
  RuleDocument document;
};

// All reads may fail with `PlatformError`, `HeadError` or `ConfigError`.
class RulesStore {
 public:
  explicit RulesStore(BlockingPlatform& platform);

  leaf::result<AcceptedHead> ReadHeadOnly();
  leaf::result<AcceptedRules> Read();

  // Calls `visit` for each audit entry, from the newest to the oldest, until it
  // returns false.
  leaf::result<void> VisitTrail(
      const RulesHead& head,
      const std::function<bool(const AuditEntry&)>& visit);

  // Restores the rules of `generation` by undoing the chunk splices of the
  // audit trail. Also fails with `OperationError` if the trail does not reach
  // back to that generation.
  leaf::result<RuleDocument> ReadGeneration(const RulesHead& head,
                                            Generation generation);

  // Runs one change to its end and returns its outcome.
  ReportChange Change(ChangeRequest request);

 private:
  struct ActionPerformer;

  leaf::result<RuleDocument> ReadDocument(const RulesHead& head);
  leaf::result<RulesChunk> ReadChunk(const std::string& name);
  leaf::result<AuditPage> ReadPage(const std::string& name);
  leaf::result<HeadRead> ReadForChange(const ReadHead& action);
  leaf::result<void> CreateObjects(const WriteParts& parts);
  ChangeEvent Perform(const ReadHead& action);
  ChangeEvent Perform(const WriteParts& action);
  ChangeEvent Perform(const WriteHead& action);
  ChangeEvent Perform(const WaitBeforeRetry& action);

  BlockingPlatform& platform_;
  // Keyed by name. Names are derived from the content, so entries never go
  // stale.
  std::map<std::string, RulesChunk, std::less<>> chunk_cache_;
  std::map<std::string, AuditPage, std::less<>> page_cache_;
};

// Returns 32 random hexadecimal digits.
std::string MakeOperationId();

// Returns the wall-clock time.
UnixSeconds WallSeconds();

}  // namespace verbenastile

#endif  // CLI_RULES_STORE_H_
