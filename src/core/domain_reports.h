// Adds up what the nodes below report, for the node above.
#ifndef CORE_DOMAIN_REPORTS_H_
#define CORE_DOMAIN_REPORTS_H_

#include <map>
#include <string>

#include "base/time.h"
#include "core/fan_out.h"
#include "core/fleet_view.h"

namespace verbenastile {

class DomainReports {
 public:
  // Reports older than `expiry` count no more.
  explicit DomainReports(Duration expiry) : expiry_(expiry) {}

  void OnReport(Time now, const std::string& from, DomainView view);

  // The node's own part, which names it as its own laggard, and the last
  // reports of those that `place` names; one that is not heard counts as a
  // laggard without a generation.
  DomainView Sum(Time now, const TreePlace& place, const DomainView& own) const;

 private:
  struct Entry {
    DomainView view;
    Time heard;
  };

  Duration expiry_;
  std::map<std::string, Entry> reports_;
};

}  // namespace verbenastile

#endif  // CORE_DOMAIN_REPORTS_H_
