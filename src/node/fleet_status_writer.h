// Writes a failure domain's status to its status object on the platform.
#ifndef NODE_FLEET_STATUS_WRITER_H_
#define NODE_FLEET_STATUS_WRITER_H_

#include <functional>
#include <optional>

#include "core/fleet_view.h"
#include "io/platform_client.h"

namespace verbenastile {

// Callers must wait for a write to finish before they start the next. A write
// that fails, for instance on a conflict with another writer, is not retried:
// the next write reads the object again and overwrites its status.
class FleetStatusWriter {
 public:
  using DoneHandler = std::function<void(bool written)>;

  explicit FleetStatusWriter(PlatformClient& platform) : platform_(platform) {}

  void Write(const DomainView& view, DoneHandler on_done);

 private:
  void Read(const DomainView& view, DoneHandler on_done);
  void Create(const DomainView& view, DoneHandler on_done);
  void OverwriteStatus(const DomainView& view, DoneHandler on_done);

  PlatformClient& platform_;
  std::optional<PlatformObject> known_;  // As last read or written.
};

}  // namespace verbenastile

#endif  // NODE_FLEET_STATUS_WRITER_H_
