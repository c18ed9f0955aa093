// Writes what a failure domain runs to its status object at the platform.
#ifndef NODE_FLEET_STATUS_WRITER_H_
#define NODE_FLEET_STATUS_WRITER_H_

#include <functional>
#include <optional>

#include "core/fleet_view.h"
#include "io/platform_client.h"

namespace verbenastile {

// One write at a time. A lost race with another writer is not repeated: the
// next status is written over what is there then.
class FleetStatusWriter {
 public:
  using DoneHandler = std::function<void(bool written)>;

  explicit FleetStatusWriter(PlatformClient& platform) : platform_(platform) {}

  void Write(const DomainView& view, DoneHandler on_done);

 private:
  void Read(const DomainView& view, DoneHandler on_done);
  void Create(const DomainView& view, DoneHandler on_done);
  void WriteOver(const DomainView& view, DoneHandler on_done);

  PlatformClient& platform_;
  std::optional<PlatformObject> known_;  // As last read or written.
};

}  // namespace verbenastile

#endif  // NODE_FLEET_STATUS_WRITER_H_
