// String helpers.
#ifndef BASE_TEXT_H_
#define BASE_TEXT_H_

#include <string>
#include <string_view>

namespace verbenastile {

// Returns `text` in lower case, as defined by the C locale.
std::string ToLower(std::string_view text);

}  // namespace verbenastile

#endif  // BASE_TEXT_H_
