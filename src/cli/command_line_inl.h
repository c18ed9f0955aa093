// Implementation of `RunReported`; included only by command_line.h.
#ifndef CLI_COMMAND_LINE_INL_H_
#define CLI_COMMAND_LINE_INL_H_

#include <fmt/format.h>

#include "cli/admin_call.h"
#include "core/operations.h"
#include "core/rules_head.h"
#include "io/platform_client.h"

namespace verbenastile {

template <typename Body>
int RunReported(Body body) {
  return leaf::try_handle_all(
      body,
      [](const ConfigError& error) {
        fmt::print(stderr, "{}", ToString(error));
        return kExitInvalid;
      },
      [](const OperationError& error) {
        PrintError(error.reason + "; nothing was changed");
        return kExitInvalid;
      },
      [](const PlatformError& error) {
        PrintError(fmt::format("platform request failed: {} ({})",
                               ToString(error.kind), error.detail));
        return kExitFailed;
      },
      [](const AdminError& error) {
        PrintError(error.reason);
        return kExitFailed;
      },
      [](const HeadError& error) {
        PrintError(error.reason);
        return kExitFailed;
      },
      [] {
        PrintError("unknown error");
        return kExitFailed;
      });
}

}  // namespace verbenastile

#endif  // CLI_COMMAND_LINE_INL_H_
