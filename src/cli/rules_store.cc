#include "cli/rules_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <ctime>
#include <random>
#include <thread>

namespace verbenastile {
namespace {

constexpr std::size_t kMaxCachedPages = 64;

std::string Describe(const PlatformError& error) {
  return fmt::format("platform request failed: {} ({})", ToString(error.kind),
                     error.detail);
}

// Whether a retry may succeed.
bool IsTransient(PlatformError::Kind kind) {
  return kind == PlatformError::Kind::kUnavailable ||
         kind == PlatformError::Kind::kUnknownOutcome ||
         kind == PlatformError::Kind::kNotFound;
}

ChangeEvent FromReadError(const PlatformError& error) {
  if (IsTransient(error.kind)) {
    return PlatformUnavailable{Describe(error)};
  }
  return PlatformRefused{Describe(error)};
}

ChangeEvent FromHeadWriteError(const PlatformError& error) {
  switch (error.kind) {
    case PlatformError::Kind::kConflict:
    case PlatformError::Kind::kNotFound:
      return HeadConflict{};
    case PlatformError::Kind::kUnknownOutcome:
      return HeadOutcomeUnknown{Describe(error)};
    case PlatformError::Kind::kUnavailable:
      return PlatformUnavailable{Describe(error)};
    default:
      return PlatformRefused{Describe(error)};
  }
}

// Runs `step`, which returns an event, and converts its errors to events.
template <typename Step>
ChangeEvent CatchReadErrors(Step step) {
  return leaf::try_handle_all(
      step,
      [](const PlatformError& error) -> ChangeEvent {
        return FromReadError(error);
      },
      [](const HeadError& error) -> ChangeEvent {
        return PlatformRefused{error.reason};
      },
      [](const ConfigError& error) -> ChangeEvent {
        return PlatformRefused{"cannot read the rules in force: " +
                               ToString(error)};
      },
      []() -> ChangeEvent { return PlatformRefused{"unknown error"}; });
}

}  // namespace

std::string MakeOperationId() {
  std::random_device random;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", random(), random(), random(),
                     random());
}

UnixSeconds WallSeconds() {
  return std::time(nullptr);
}

RulesStore::RulesStore(BlockingPlatform& platform) : platform_(platform) {}

leaf::result<AcceptedHead> RulesStore::ReadHeadOnly() {
  AcceptedHead accepted;
  BOOST_LEAF_AUTO(object, platform_.Find(kHeadKind, kHeadName));
  if (object) {
    accepted.resource_version = object->resource_version;
    BOOST_LEAF_ASSIGN(accepted.head, ParseHead(object->spec));
  }
  return accepted;
}

leaf::result<AcceptedRules> RulesStore::Read() {
  BOOST_LEAF_AUTO(accepted, ReadHeadOnly());
  AcceptedRules rules{accepted.resource_version, std::move(accepted.head), {}};
  if (!rules.resource_version.empty()) {
    BOOST_LEAF_ASSIGN(rules.document, ReadDocument(rules.head));
  }
  return rules;
}

leaf::result<RuleDocument> RulesStore::ReadDocument(const RulesHead& head) {
  std::vector<RulesChunk> chunks;
  for (const std::string& name : head.chunks) {
    BOOST_LEAF_AUTO(chunk, ReadChunk(name));
    chunks.push_back(std::move(chunk));
  }
  std::erase_if(chunk_cache_, [&](const auto& cached) {
    return std::find(head.chunks.begin(), head.chunks.end(), cached.first) ==
           head.chunks.end();
  });
  BOOST_LEAF_AUTO(snapshot, AssembleSnapshot(head, chunks));
  return ToDocument(snapshot);
}

leaf::result<RulesChunk> RulesStore::ReadChunk(const std::string& name) {
  const auto cached = chunk_cache_.find(name);
  if (cached != chunk_cache_.end()) {
    return cached->second;
  }
  BOOST_LEAF_AUTO(object, platform_.Get(kChunkKind, name));
  BOOST_LEAF_AUTO(chunk, ParseChunk(name, object.spec));
  chunk_cache_[name] = chunk;
  return chunk;
}

leaf::result<AuditPage> RulesStore::ReadPage(const std::string& name) {
  const auto cached = page_cache_.find(name);
  if (cached != page_cache_.end()) {
    return cached->second;
  }
  BOOST_LEAF_AUTO(object, platform_.Get(kAuditKind, name));
  BOOST_LEAF_AUTO(page, ParseAuditPage(name, object.spec));
  if (page_cache_.size() < kMaxCachedPages) {
    page_cache_[name] = page;
  }
  return page;
}

leaf::result<void> RulesStore::VisitTrail(
    const RulesHead& head,
    const std::function<bool(const AuditEntry&)>& visit) {
  const auto visit_all = [&](const std::vector<AuditEntry>& entries) {
    return std::all_of(entries.rbegin(), entries.rend(), visit);
  };
  bool wanted = visit_all(head.audit);
  std::string name = head.audit_page;
  while (wanted && !name.empty()) {
    BOOST_LEAF_AUTO(page, ReadPage(name));
    wanted = visit_all(page.entries);
    name = page.previous;
  }
  return {};
}

leaf::result<RuleDocument> RulesStore::ReadGeneration(const RulesHead& head,
                                                      Generation generation) {
  RulesHead restored = head;
  bool found = head.generation == generation;
  bool broken = false;
  BOOST_LEAF_CHECK(VisitTrail(head, [&](const AuditEntry& entry) {
    if (entry.generation_after == generation) {
      restored.digest = entry.digest;
      found = true;
    }
    if (entry.generation_after <= generation) {
      return false;
    }
    auto before = UndoSplice(entry.splice, restored.chunks);
    broken = !before;
    restored.chunks = std::move(before).value_or(std::vector<std::string>());
    return !broken;
  }));
  if (!found || broken) {
    return leaf::new_error(OperationError{fmt::format(
        "the audit trail does not reach generation {}", generation)});
  }
  restored.generation = generation;
  return ReadDocument(restored);
}

leaf::result<HeadRead> RulesStore::ReadForChange(const ReadHead& action) {
  BOOST_LEAF_AUTO(rules, Read());
  HeadRead read;
  read.resource_version = std::move(rules.resource_version);
  read.document = std::move(rules.document);
  read.now = WallSeconds();
  BOOST_LEAF_CHECK(VisitTrail(rules.head, [&](const AuditEntry& entry) {
    const bool needed = NeedsEntry(action, entry, read.now);
    if (needed) {
      read.trail.push_back(entry);
    }
    return needed;
  }));
  std::reverse(read.trail.begin(), read.trail.end());
  read.head = std::move(rules.head);
  return read;
}

// Names are derived from the content, so an existing object of the same name is
// identical.
leaf::result<void> RulesStore::CreateObjects(const WriteParts& parts) {
  for (const RulesChunk& chunk : parts.chunks) {
    BOOST_LEAF_CHECK(
        platform_.CreateIfMissing(kChunkKind, chunk.name, ToJson(chunk)));
  }
  if (parts.page) {
    BOOST_LEAF_CHECK(platform_.CreateIfMissing(kAuditKind, parts.page->name,
                                               ToJson(*parts.page)));
  }
  return {};
}

ChangeEvent RulesStore::Perform(const ReadHead& action) {
  return CatchReadErrors([&]() -> leaf::result<ChangeEvent> {
    BOOST_LEAF_AUTO(read, ReadForChange(action));
    return read;
  });
}

ChangeEvent RulesStore::Perform(const WriteParts& action) {
  return CatchReadErrors([&]() -> leaf::result<ChangeEvent> {
    BOOST_LEAF_CHECK(CreateObjects(action));
    return PartsWritten{};
  });
}

ChangeEvent RulesStore::Perform(const WriteHead& action) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<ChangeEvent> {
        if (action.resource_version.empty()) {
          BOOST_LEAF_CHECK(
              platform_.Create(kHeadKind, kHeadName, ToJson(action.head)));
          return HeadWritten{};
        }
        PlatformObject object;
        object.name = kHeadName;
        object.resource_version = action.resource_version;
        object.spec = ToJson(action.head);
        BOOST_LEAF_CHECK(platform_.Update(kHeadKind, object));
        return HeadWritten{};
      },
      [](const PlatformError& error) -> ChangeEvent {
        return FromHeadWriteError(error);
      },
      []() -> ChangeEvent { return HeadOutcomeUnknown{"unknown error"}; });
}

ChangeEvent RulesStore::Perform(const WaitBeforeRetry& action) {
  std::this_thread::sleep_for(action.duration);
  return WaitOver{};
}

struct RulesStore::ActionPerformer {
  RulesStore& store;

  template <typename Action>
  ChangeEvent operator()(const Action& action) {
    return store.Perform(action);
  }
  ChangeEvent operator()(const ReportChange&) { return WaitOver{}; }
};

ReportChange RulesStore::Change(ChangeRequest request) {
  RuleChange change(std::move(request), std::random_device{}());
  ChangeAction action = change.Start(SteadyNow());
  while (!std::holds_alternative<ReportChange>(action)) {
    ChangeEvent event = std::visit(ActionPerformer{*this}, action);
    action = change.OnEvent(std::move(event), SteadyNow());
  }
  return std::get<ReportChange>(std::move(action));
}

}  // namespace verbenastile
