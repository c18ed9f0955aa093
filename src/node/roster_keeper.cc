#include "node/roster_keeper.h"

#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include "base/log.h"

namespace verbenastile {
namespace {

constexpr std::string_view kPart = "roster";
constexpr Duration kPollInterval = std::chrono::milliseconds(500);

Roster ReadRoster(const nlohmann::json& spec) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Roster> { return ParseRoster(spec); },
      [](const RosterError& error) {
        Log(LogLevel::kError, kPart, "A roster is malformed.",
            {{"reason", error.reason}});
        return Roster{};
      },
      [] { return Roster{}; });
}

}  // namespace

RosterKeeper::RosterKeeper(asio::io_context& io,
                           PlatformClient& platform,
                           MemberDirectory& directory,
                           std::uint32_t seed)
    : platform_(platform), directory_(directory), timer_(io), random_(seed) {}

void RosterKeeper::Start(Member self) {
  self_ = std::move(self);
  Poll();
}

void RosterKeeper::Announce(Member self) {
  self_ = std::move(self);
  announced_ = true;
  directory_.Put(self_);
  Poll();
}

void RosterKeeper::Stop() {
  stopped_ = true;
  timer_.cancel();
}

void RosterKeeper::Poll() {
  if (polling_ || stopped_) {
    return;
  }
  polling_ = true;
  platform_.List(kRosterKind, [this](PlatformResult<PlatformList> result) {
    polling_ = false;
    if (stopped_) {
      return;
    }
    if (const auto* list = std::get_if<PlatformList>(&result)) {
      OnRosters(*list);
    }
    ScheduleNext();
  });
}

void RosterKeeper::ScheduleNext() {
  std::uniform_int_distribution<std::int64_t> jitter(kPollInterval.count() / 2,
                                                     kPollInterval.count());
  timer_.expires_after(Duration(jitter(random_)));
  timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Poll();
    }
  });
}

void RosterKeeper::OnRosters(const PlatformList& list) {
  const PlatformObject* own = nullptr;
  for (const PlatformObject& object : list.items) {
    if (object.name == self_.failure_domain) {
      own = &object;
    }
    for (Member& member : ReadRoster(object.spec).members) {
      if (member.name != self_.name) {
        directory_.Put(std::move(member));
      }
    }
  }
  if (announced_) {
    WriteSelf(own);
  }
}

void RosterKeeper::WriteSelf(const PlatformObject* known) {
  Roster roster = known == nullptr ? Roster{} : ReadRoster(known->spec);
  if (!PutMember(roster, self_)) {
    return;
  }
  const auto on_done = [](const PlatformResult<PlatformObject>& result) {
    if (const auto* error = std::get_if<PlatformError>(&result)) {
      Log(LogLevel::kDebug, kPart, "The roster was not written.",
          {{"kind", ToString(error->kind)}});
    }
  };
  if (known == nullptr) {
    platform_.Create(kRosterKind, self_.failure_domain, ToJson(roster),
                     on_done);
    return;
  }
  PlatformObject object = *known;
  object.spec = ToJson(roster);
  platform_.Update(kRosterKind, object, on_done);
}

}  // namespace verbenastile
