#include "config/config_error.h"

#include <fmt/format.h>

namespace verbenastile {

std::string ToString(const ConfigFault& fault) {
  return fmt::format("{}:{}:{}: {}", fault.file, fault.mark.line,
                     fault.mark.column, fault.reason);
}

std::string ToString(const ConfigError& error) {
  std::string text;
  for (const ConfigFault& fault : error.faults) {
    text += ToString(fault);
    text += '\n';
  }
  return text;
}

}  // namespace verbenastile
