// Decides which share of the calls to a service may leave the failure domain of
// this node, and to which one. All nodes of a domain see about the same
// shortage and move together, so the share moves in damped steps with
// hysteresis. See docs/design/domains.md.
#ifndef CORE_DOMAIN_SPILL_H_
#define CORE_DOMAIN_SPILL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"

namespace verbenastile {

// The room of one service in one failure domain.
struct DomainRoom {
  std::string domain;
  std::int64_t instances = 0;  // In rotation.
  // Of the instances with a recent load report, like `calls`.
  std::int64_t slots = 0;
  std::int64_t calls = 0;  // In slots and queues.
  // The share of attempts of this node that failed there or were lost.
  std::int64_t lost_permille = 0;
};

// Why a share changed or did not.
enum class SpillReason : std::uint8_t {
  kOwnRoom = 0,     // The own domain has room.
  kOwnShort = 1,    // It is short, and the other one has room.
  kNoInstance = 2,  // It has no instance of the service.
  kShortAlike = 3,  // The other domain is about as short.
  kLost = 4,        // Attempts to the other domain are lost.
  kUnknown = 5,     // There are no recent reports of the other domain.
  kHeld = 6,        // Between the thresholds.
};
constexpr std::size_t kSpillReasonCount = 7;
std::string_view ToString(SpillReason reason);

// What leaving costs a call, as time.
struct DomainPrice {
  Duration hop = std::chrono::milliseconds(3);
  Duration per_kilobyte = std::chrono::milliseconds(12);
};

// The cost of an answer of `bytes` from another domain, as risk of a late
// answer. A call waits for at most half of its objective to save bytes.
Duration LeaveCost(const DomainPrice& price,
                   std::int64_t bytes,
                   Duration objective);
// The additional cost for a call that is not in the share that leaves: the risk
// of an answer after half of the objective.
Duration StayBonus(Duration objective);

class DomainSpill {
 public:
  struct Change {
    std::string_view domain;
    std::int64_t before_permille = 0;
    std::int64_t after_permille = 0;
    SpillReason reason = SpillReason::kHeld;
    // Calls for each slot.
    std::int64_t own_permille = 0;
    std::int64_t there_permille = 0;
  };

  explicit DomainSpill(std::string own_domain);

  // Whether `Update` is due for the service.
  bool IsDue(std::string_view service, Time now) const;
  // Takes the room of all domains with instances of the service and returns the
  // shares that changed. The views are valid until the next `Update`.
  std::vector<Change> Update(std::string_view service,
                             std::span<const DomainRoom> rooms,
                             Time now);
  // The domain that this call may leave to at no more than `LeaveCost`; empty:
  // none. A call that an instance at home `refused` may leave if there is more
  // room elsewhere.
  std::string_view Pick(std::string_view service,
                        bool refused,
                        std::mt19937_64& random) const;
  // 0 if nothing is known.
  std::int64_t SharePermille(std::string_view service,
                             std::string_view domain) const;

 private:
  struct Target {
    std::int64_t share_permille = 0;
    std::int64_t free_slots = 0;  // 0 also where the own domain has more room.
    SpillReason reason = SpillReason::kUnknown;
  };
  struct Service {
    Time updated_at;
    std::map<std::string, Target, std::less<>> targets;
  };

  static void Step(Target& target,
                   const DomainRoom& own,
                   const DomainRoom& there,
                   const DomainRoom& elsewhere,
                   std::int64_t total);

  std::string own_domain_;
  std::map<std::string, Service, std::less<>> services_;
};

}  // namespace verbenastile

#endif  // CORE_DOMAIN_SPILL_H_
