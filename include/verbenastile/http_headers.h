// The HTTP headers that callers and nodes exchange. docs/OPERATIONS.md lists
// them for callers.
#ifndef VERBENASTILE_HTTP_HEADERS_H_
#define VERBENASTILE_HTTP_HEADERS_H_

#include <string_view>

namespace verbenastile {

// From callers. The group that the call belongs to.
constexpr std::string_view kGroupHeader = "x-verbena-group";
// From callers. The logical service asked for.
constexpr std::string_view kServiceHeader = "x-verbena-service";
// From callers, and passed on. Names the request; made up when missing.
constexpr std::string_view kRequestIdHeader = "x-verbena-request-id";
// From callers, and passed on. Milliseconds left for the whole call.
constexpr std::string_view kDeadlineHeader = "x-verbena-deadline-ms";
// From callers, and passed on. Extra attempts that may still be made for the
// call, by this node and all below it; 0 says "do not retry below".
constexpr std::string_view kAttemptsHeader = "x-verbena-attempts-left";

// Between nodes only; removed from what callers send.
constexpr std::string_view kAttemptIdHeader = "x-verbena-attempt-id";
constexpr std::string_view kTargetHeader = "x-verbena-target";
constexpr std::string_view kPriorityHeader = "x-verbena-priority";
// Between nodes only, on answers. The upstream's load, as "busy/queued".
constexpr std::string_view kLoadHeader = "x-verbena-load";

// On answers that the system itself gives. `kOutcomeNotRun`: no part of the
// request reached an upstream. `kOutcomeUnknown`: it may have run.
constexpr std::string_view kOutcomeHeader = "x-verbena-outcome";
constexpr std::string_view kOutcomeNotRun = "not-run";
constexpr std::string_view kOutcomeUnknown = "unknown";
// On answers to callers that told their attempts. How many were used.
constexpr std::string_view kAttemptsUsedHeader = "x-verbena-attempts-used";
// On an upstream's answers: "1" announces that it is leaving. On answers of a
// node: it is leaving, or its upstream has gone.
constexpr std::string_view kLeavingHeader = "x-verbena-leaving";
// On answers of the system. The rule that decided, and its generation.
constexpr std::string_view kRuleHeader = "x-verbena-rule";
constexpr std::string_view kGenerationHeader = "x-verbena-generation";

}  // namespace verbenastile

#endif  // VERBENASTILE_HTTP_HEADERS_H_
