// What a binary says of the sources that it was built from.
#include "base/build_id.h"

#include <catch2/catch.hpp>
#include <string>

namespace verbenastile {
namespace {

SCENARIO("a build names its version, its commit and its sources") {
  const std::string id(BuildId());
  CHECK_THAT(id, Catch::Matchers::Matches(
                     "[0-9]+\\.[0-9]+\\.[0-9]+ "
                     "\\((commit [0-9a-f]{12}( with changes)?|no commit known),"
                     " sources [0-9a-f]{12}\\)"));
}

}  // namespace
}  // namespace verbenastile
