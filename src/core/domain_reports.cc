#include "core/domain_reports.h"

#include <algorithm>

namespace verbenastile {
namespace {

// Bounds the reports held: while nodes disagree on the tree, a node may receive
// reports from more nodes than its own reporters.
constexpr std::size_t kMaxReports = 64;

DomainView MissingReport(const std::string& name) {
  DomainView view;
  view.nodes = 1;
  view.counts[0] = 1;
  view.laggards.push_back({name, 0});
  return view;
}

}  // namespace

void DomainReports::OnReport(Time now,
                             const std::string& from,
                             DomainView view) {
  std::erase_if(reports_, [&](const auto& report) {
    return now - report.second.heard >= expiry_;
  });
  if (reports_.size() < kMaxReports || reports_.contains(from)) {
    reports_.insert_or_assign(from, Entry{std::move(view), now});
  }
}

DomainView DomainReports::Sum(Time now,
                              const TreePlace& place,
                              const DomainView& own) const {
  DomainView sum;
  sum.failure_domain = own.failure_domain;
  AddTo(sum, own);
  std::vector<Laggard> reporters_heard;
  for (const TreePeer& reporter : place.reporters) {
    const auto report = reports_.find(reporter.name);
    const bool heard =
        report != reports_.end() && now - report->second.heard < expiry_;
    const DomainView view =
        heard ? report->second.view : MissingReport(reporter.name);
    AddTo(sum, view);
    if (heard) {
      reporters_heard.push_back({reporter.name, view.newest});
    }
  }
  NameLaggards(sum, reporters_heard);
  if (place.writer) {
    sum.nodes =
        std::max(sum.nodes, static_cast<std::uint32_t>(place.domain_size));
  }
  return sum;
}

}  // namespace verbenastile
