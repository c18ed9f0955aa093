#include "io/file_limit.h"

#include <sys/resource.h>

namespace verbenastile {

std::size_t RaiseFileLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
    return 0;
  }
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

}  // namespace verbenastile
