// Exit codes of the binary.
#ifndef CLI_EXIT_CODES_H_
#define CLI_EXIT_CODES_H_

namespace verbenastile {

constexpr int kExitOk = 0;
// The command failed at run time.
constexpr int kExitFailed = 1;
// Invalid arguments or input; nothing was done.
constexpr int kExitInvalid = 2;

}  // namespace verbenastile

#endif  // CLI_EXIT_CODES_H_
