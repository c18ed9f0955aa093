// Messages that nodes exchange to distribute generations.
#ifndef CORE_DISTRIBUTION_MESSAGE_H_
#define CORE_DISTRIBUTION_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/settings.h"
#include "core/delta.h"
#include "core/fleet_view.h"

namespace verbenastile {

// The node at the other end of a connection.
struct PeerIdentity {
  std::string name;
  std::string failure_domain;
  SocketAddress control;

  bool operator==(const PeerIdentity&) const = default;
};

// Announces the version that the sender has in force.
struct SummaryMessage {
  Version held;
  bool answer_wanted = false;
};

// Requests `wanted`. The receiver answers with its newest version, which may be
// a later one.
struct AskMessage {
  enum class Form : std::uint8_t {
    kDelta = 0,    // Changes since `held`.
    kDigests = 1,  // The digests of all items.
    kWhole = 2,
  };

  Form form = Form::kDelta;
  Version held;
  Version wanted;
};

// The digests of a version's items, in order.
struct DigestsMessage {
  Version version;
  std::vector<Digest> digests;
};

// Requests the items of `version` at `indexes`.
struct ItemsAskMessage {
  Version version;
  std::vector<std::uint32_t> indexes;
};

// The requested items, in the order of the requested indexes.
struct ItemsMessage {
  Version version;
  std::vector<ItemPointer> items;
};

// The generations run by the sender and by the nodes below it in the tree.
struct ReportMessage {
  DomainView view;
};

// Some of the sender's known peers, sent to a node without a generation.
struct ContactsMessage {
  std::vector<PeerIdentity> peers;
};

constexpr std::size_t kMaxSentContacts = 8;

using DistributionMessage = std::variant<SummaryMessage,
                                         AskMessage,
                                         Delta,
                                         DigestsMessage,
                                         ItemsAskMessage,
                                         ItemsMessage,
                                         ReportMessage,
                                         ContactsMessage>;

// An upper bound on the encoded size of `message`, close to the real size for
// messages with items.
std::size_t WireBytes(const DistributionMessage& message);

// The name of the type of `message`, used in metrics.
std::string_view KindOf(const DistributionMessage& message);

}  // namespace verbenastile

#endif  // CORE_DISTRIBUTION_MESSAGE_H_
