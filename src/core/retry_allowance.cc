#include "core/retry_allowance.h"

#include <algorithm>

namespace verbenastile {
namespace {

constexpr std::uint64_t kPermille = 1'000;

}  // namespace

RetryAllowance::RetryAllowance(const RetryAllowanceLimits& limits, Time start)
    : limits_(limits), start_(start) {}

RetryAllowance::Part& RetryAllowance::PartAt(std::string_view service,
                                             Time now) {
  auto found = services_.find(service);
  if (found == services_.end()) {
    found = services_.emplace(service, Parts{}).first;
  }
  const Duration length = limits_.window / kParts;
  const std::int64_t number = now.time_since_epoch() / length;
  Part& part = found->second[static_cast<std::size_t>(number) % (kParts + 1)];
  if (part.number != number) {
    part = {number, 0, 0};
  }
  return part;
}

void RetryAllowance::OnRequest(std::string_view service, Time now) {
  ++PartAt(service, now).requests;
}

bool RetryAllowance::Take(std::string_view service,
                          std::size_t nodes,
                          Time now) {
  Part& current = PartAt(service, now);
  const Parts& parts = services_.find(service)->second;
  std::uint64_t requests = 0;
  std::uint64_t repeats = 0;
  for (const Part& part : parts) {
    const std::int64_t age = current.number - part.number;
    const bool counts = age >= 0 && age <= static_cast<std::int64_t>(kParts);
    // The oldest part lies partly before the window: its repeats count, its
    // requests do not.
    repeats += counts ? part.repeats : 0;
    requests +=
        counts && age < static_cast<std::int64_t>(kParts) ? part.requests : 0;
  }
  const bool settled = now - start_ >= limits_.window;
  const std::uint64_t fixed =
      settled ? limits_.slack * kPermille / std::max<std::size_t>(nodes, 1) : 0;
  const std::uint64_t allowed_permille =
      (requests * limits_.ratio_permille + fixed) * limits_.spent_permille /
      kPermille;
  if ((repeats + 1) * kPermille > allowed_permille) {
    return false;
  }
  ++current.repeats;
  return true;
}

}  // namespace verbenastile
