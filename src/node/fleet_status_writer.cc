#include "node/fleet_status_writer.h"

namespace verbenastile {

void FleetStatusWriter::Write(const DomainView& view, DoneHandler on_done) {
  if (known_) {
    OverwriteStatus(view, std::move(on_done));
  } else {
    Read(view, std::move(on_done));
  }
}

void FleetStatusWriter::Read(const DomainView& view, DoneHandler on_done) {
  platform_.Get(kFleetStatusKind, view.failure_domain,
                [this, view, on_done](PlatformResult<PlatformObject> result) {
                  if (auto* object = std::get_if<PlatformObject>(&result)) {
                    known_ = std::move(*object);
                    OverwriteStatus(view, on_done);
                    return;
                  }
                  const auto& error = std::get<PlatformError>(result);
                  if (error.kind == PlatformError::Kind::kNotFound) {
                    Create(view, on_done);
                    return;
                  }
                  on_done(false);
                });
}

void FleetStatusWriter::Create(const DomainView& view, DoneHandler on_done) {
  platform_.Create(
      kFleetStatusKind, view.failure_domain,
      {{"failureDomain", view.failure_domain}},
      [this, view, on_done](PlatformResult<PlatformObject> result) {
        if (auto* object = std::get_if<PlatformObject>(&result)) {
          known_ = std::move(*object);
          OverwriteStatus(view, on_done);
          return;
        }
        on_done(false);
      });
}

void FleetStatusWriter::OverwriteStatus(const DomainView& view,
                                        DoneHandler on_done) {
  PlatformObject object = *known_;
  object.status = ToJson(view);
  platform_.UpdateStatus(
      kFleetStatusKind, object,
      [this, on_done](PlatformResult<PlatformObject> result) {
        if (auto* written = std::get_if<PlatformObject>(&result)) {
          known_ = std::move(*written);
          on_done(true);
          return;
        }
        known_.reset();
        on_done(false);
      });
}

}  // namespace verbenastile
