// The accepted rules at the platform: reads them and their trail, and drives
// the state machine of a change with the platform's answers.
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

// The head object; without a version before the first change.
struct AcceptedHead {
  std::string resource_version;
  RulesHead head;
};

// The accepted rules, and the head that says so.
struct AcceptedRules {
  std::string resource_version;  // Empty before the first change.
  RulesHead head;
  RuleDocument document;
};

// Errors of all reads: `PlatformError`, `HeadError`, `ConfigError`.
class RulesStore {
 public:
  explicit RulesStore(BlockingPlatform& platform);

  leaf::result<AcceptedHead> ReadHeadOnly();
  leaf::result<AcceptedRules> Read();

  // Calls `visit` for each entry from the newest to the oldest until it
  // returns false.
  leaf::result<void> VisitTrail(
      const RulesHead& head,
      const std::function<bool(const AuditEntry&)>& visit);

  // The rules as they were at `generation`. Errors: besides, `OperationError`
  // when the trail does not lead back to it.
  leaf::result<RuleDocument> ReadGeneration(const RulesHead& head,
                                            Generation generation);

  // Makes one change, or says what became of it.
  ReportChange Change(ChangeRequest request);

 private:
  struct Driver;

  leaf::result<RuleDocument> ReadDocument(const RulesHead& head);
  leaf::result<RulesChunk> ReadChunk(const std::string& name);
  leaf::result<AuditPage> ReadPage(const std::string& name);
  leaf::result<HeadRead> ReadForChange(const ReadHead& wanted);
  leaf::result<void> WriteAll(const WriteParts& parts);
  ChangeEvent Perform(const ReadHead& action);
  ChangeEvent Perform(const WriteParts& action);
  ChangeEvent Perform(const WriteHead& action);
  ChangeEvent Perform(const WaitBeforeRetry& action);

  BlockingPlatform& platform_;
  // By names that are made from the content.
  std::map<std::string, RulesChunk, std::less<>> chunks_;
  std::map<std::string, AuditPage, std::less<>> pages_;
};

// 32 random hexadecimal digits.
std::string MakeOperationId();

// The wall clock.
UnixSeconds WallSeconds();

}  // namespace verbenastile

#endif  // CLI_RULES_STORE_H_
