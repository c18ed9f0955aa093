// Which sources the binary was built from.
#ifndef BASE_BUILD_ID_H_
#define BASE_BUILD_ID_H_

#include <string_view>

namespace verbenastile {

// The version, the commit and whether the product's files differed from it, and
// a digest of these files. Without a git checkout the commit is not known.
std::string_view BuildId();

}  // namespace verbenastile

#endif  // BASE_BUILD_ID_H_
