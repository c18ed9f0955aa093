#include "node/roster_keeper.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <nlohmann/json.hpp>

#include "base/log.h"
#include "core/roster_mending.h"
#include "core/rules_head.h"

namespace verbenastile {
namespace {

constexpr std::string_view kLogComponent = "roster";
// Maximum delay of the first read; doubled for later reads.
constexpr Duration kInitialReadDelay = std::chrono::seconds(2);
// Upper limit of that delay.
constexpr Duration kMaxReadDelay = std::chrono::seconds(10);
constexpr unsigned kMaxDoublings = 4;
// The back-off is reset if no seeds were requested for this long.
constexpr Duration kBackoffResetAfter = std::chrono::seconds(30);
constexpr Duration kCheckInterval = std::chrono::seconds(10);
// Time, plus up to as much jitter, after which a keeper rereads its roster even
// without a known change. The first time comes within one such interval.
constexpr Duration kRereadInterval = std::chrono::minutes(10);

Roster ReadRoster(const nlohmann::json& spec) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<Roster> { return ParseRoster(spec); },
      [](const RosterError& error) {
        Log(LogLevel::kError, kLogComponent, "Malformed roster.",
            {{"reason", error.reason}});
        return Roster{};
      },
      [] { return Roster{}; });
}

void AddAddresses(const Roster& roster, std::vector<SocketAddress>& addresses) {
  for (const Member& member : roster.members) {
    addresses.push_back(member.control_address);
  }
}

}  // namespace

RosterKeeper::RosterKeeper(asio::io_context& io,
                           PlatformClient& platform,
                           const MemberDirectory& directory,
                           Member self,
                           std::uint32_t seed,
                           SeedsHandler on_seeds)
    : platform_(platform),
      directory_(directory),
      self_(std::move(self)),
      on_seeds_(std::move(on_seeds)),
      read_timer_(io),
      check_timer_(io),
      random_(seed) {}

void RosterKeeper::Start() {
  next_reread_ = SteadyNow() + UpTo(kRereadInterval);
  ScheduleCheck(kCheckInterval + UpTo(kCheckInterval));
}

void RosterKeeper::Stop() {
  stopped_ = true;
  read_timer_.cancel();
  check_timer_.cancel();
}

Duration RosterKeeper::UpTo(Duration longest) {
  return Duration(
      std::uniform_int_distribution<std::int64_t>(0, longest.count())(random_));
}

// --- Reading.

void RosterKeeper::WantSeeds() {
  const Time now = SteadyNow();
  if (now - last_wanted_ > kBackoffResetAfter) {
    read_attempts_ = 0;
  }
  last_wanted_ = now;
  if (read_pending_ || stopped_) {
    return;
  }
  read_pending_ = true;
  const Duration longest = std::min(
      kMaxReadDelay,
      kInitialReadDelay * (1 << std::min(read_attempts_, kMaxDoublings)));
  ++read_attempts_;
  read_timer_.expires_after(UpTo(longest));
  read_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Read();
    }
  });
}

void RosterKeeper::Read() {
  ++reads_;
  platform_.List(kRosterKind, [this](PlatformResult<PlatformList> result) {
    read_pending_ = false;
    if (stopped_) {
      return;
    }
    if (const auto* list = std::get_if<PlatformList>(&result)) {
      OnRosters(*list);
      return;
    }
    const auto& error = std::get<PlatformError>(result);
    Log(LogLevel::kInfo, kLogComponent, "Cannot read the rosters.",
        {{"kind", ToString(error.kind)}, {"detail", error.detail}});
  });
}

void RosterKeeper::OnRosters(const PlatformList& list) {
  std::vector<SocketAddress> addresses;
  known_.emplace();
  for (const PlatformObject& object : list.items) {
    Roster roster = ReadRoster(object.spec);
    AddAddresses(roster, addresses);
    if (object.name == self_.failure_domain) {
      known_ = std::move(roster);
    }
  }
  std::erase(addresses, self_.control_address);
  const bool first_here = known_->members.empty();
  on_seeds_(std::move(addresses));
  if (first_here) {
    was_invalid_ = true;
    ScheduleCheck(UpTo(kInitialReadDelay));
  }
}

// --- Maintenance.

void RosterKeeper::ScheduleCheck(Duration delay) {
  check_timer_.expires_after(delay);
  check_timer_.async_wait([this](const asio::error_code& error) {
    if (!error) {
      Check();
    }
  });
}

void RosterKeeper::Check() {
  ScheduleCheck(kCheckInterval + UpTo(kCheckInterval));
  if (repair_pending_ || !IsRosterKeeper(directory_, self_)) {
    was_invalid_ = false;
    return;
  }
  const Time now = SteadyNow();
  const bool reread_due = !known_ || now >= next_reread_;
  const bool invalid = !known_ || MendedRoster(*known_, directory_, self_);
  // Rewrites only after two invalid checks in a row: a seed that restarts is
  // back before the second.
  if (reread_due || (invalid && was_invalid_)) {
    next_reread_ = now + kRereadInterval + UpTo(kRereadInterval);
    Repair();
  }
  was_invalid_ = invalid;
}

void RosterKeeper::Repair() {
  repair_pending_ = true;
  ++reads_;
  platform_.Get(kRosterKind, self_.failure_domain,
                [this](PlatformResult<PlatformObject> result) {
                  repair_pending_ = false;
                  if (!stopped_) {
                    OnOwnRoster(result);
                  }
                });
}

bool RosterKeeper::KnowsAll(const Roster& roster) const {
  return std::all_of(roster.members.begin(), roster.members.end(),
                     [&](const Member& seed) {
                       return directory_.Find(seed.name) != nullptr;
                     });
}

void RosterKeeper::OnOwnRoster(const PlatformResult<PlatformObject>& result) {
  const auto* error = std::get_if<PlatformError>(&result);
  if (error != nullptr && error->kind != PlatformError::Kind::kNotFound) {
    return;
  }
  std::optional<PlatformObject> object;
  Roster roster;
  if (error == nullptr) {
    object = std::get<PlatformObject>(result);
    roster = ReadRoster(object->spec);
  }
  const bool news = !known_ || known_->members != roster.members;
  known_ = roster;
  if (news && !KnowsAll(roster)) {
    // Unknown seeds may still be running: contact them first, and leave the
    // decision to the next check.
    std::vector<SocketAddress> addresses;
    AddAddresses(roster, addresses);
    on_seeds_(std::move(addresses));
    return;
  }
  if (const auto mended = MendedRoster(roster, directory_, self_)) {
    Write(object, *mended);
  }
}

void RosterKeeper::Write(const std::optional<PlatformObject>& object,
                         const Roster& mended) {
  ++writes_;
  Log(LogLevel::kInfo, kLogComponent, "Writing the failure domain's roster.",
      {{"failure_domain", self_.failure_domain},
       {"seeds", mended.members.size()}});
  // After an error, such as a lost response or a write conflict, the roster is
  // read again at the next check.
  const auto on_done = [this,
                        mended](const PlatformResult<PlatformObject>& result) {
    if (std::holds_alternative<PlatformObject>(result)) {
      known_ = mended;
    } else {
      known_.reset();
    }
  };
  if (!object) {
    platform_.Create(kRosterKind, self_.failure_domain, ToJson(mended),
                     on_done);
    return;
  }
  PlatformObject changed = *object;
  changed.spec = ToJson(mended);
  platform_.Update(kRosterKind, changed, on_done);
}

}  // namespace verbenastile
