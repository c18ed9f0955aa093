// Small operations on texts.
#ifndef BASE_TEXT_H_
#define BASE_TEXT_H_

#include <string>
#include <string_view>

namespace verbenastile {

// `text` in lower case, by the rules of the C locale.
std::string ToLower(std::string_view text);

}  // namespace verbenastile

#endif  // BASE_TEXT_H_
