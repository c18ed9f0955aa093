// Aggregates the reports of a node's children in the reporting tree.
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
  // Reports older than `expiry` are ignored.
  explicit DomainReports(Duration expiry) : expiry_(expiry) {}

  void OnReport(Time now, const std::string& from, DomainView view);

  // Sums `own`, in which this node lists itself as a laggard, and the latest
  // reports of the reporters in `place`. A reporter without a current report
  // counts as a laggard with generation 0.
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
