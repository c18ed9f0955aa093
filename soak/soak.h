// Long randomised runs of the decision logic with fakes at its interfaces.
#ifndef SOAK_SOAK_H_
#define SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "core/digest.h"

namespace verbenastile {

struct SoakOptions {
  std::uint64_t seed = 1;
  std::uint64_t steps = 100'000;
  std::string mutation;  // A deliberately broken policy; empty: none.
};

// What a run of one topic gave.
struct SoakReport {
  std::uint64_t steps = 0;
  Digest digest;  // Of all that was decided; equal for equal seeds.
  std::vector<std::string> violations;
};

// A topic of runs, and the mutations that it must catch.
struct SoakTopic {
  std::string_view name;
  SoakReport (*run)(const SoakOptions& options);
  std::vector<std::string_view> mutations;
};

// All topics of this binary.
std::vector<SoakTopic> SoakTopics();

// Random numbers that are the same on any machine for the same seed.
using SoakRandom = Random;

// A digest of a run, folded over what is added to it.
class RunDigest {
 public:
  void Add(std::uint64_t value) {
    const std::uint64_t parts[] = {digest_.high, digest_.low, value};
    digest_ = DigestOf({reinterpret_cast<const char*>(parts), sizeof(parts)});
  }
  const Digest& digest() const { return digest_; }

 private:
  Digest digest_;
};

// The topics, each in a file of its own.
SoakTopic ApplyTopic();
SoakTopic DistributionTopic();
SoakTopic ParsersTopic();
SoakTopic CallsTopic();
SoakTopic MembershipTopic();
SoakTopic OperatorsTopic();
SoakTopic RateLimitTopic();
SoakTopic CrashSuspectsTopic();

}  // namespace verbenastile

#endif  // SOAK_SOAK_H_
