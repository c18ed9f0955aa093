#include "core/invariant.h"

#include <atomic>

#include "base/log.h"

namespace verbenastile {
namespace {

std::atomic<std::uint64_t> g_violations{0};

ViolationHandler& Handler() {
  static ViolationHandler handler;
  return handler;
}

}  // namespace

void SetViolationHandler(ViolationHandler handler) {
  Handler() = std::move(handler);
}

bool CheckInvariant(bool holds, std::string_view name, std::string_view state) {
  if (holds) {
    return true;
  }
  ++g_violations;
  Log(LogLevel::kError, "invariant", "An invariant is violated.",
      {{"name", name}, {"state", state}});
  if (Handler()) {
    Handler()(name, state);
  }
  return false;
}

std::uint64_t ViolationCount() {
  return g_violations;
}

}  // namespace verbenastile
