// What nodes say to each other about generations.
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

// What the sender has in force.
struct SummaryMessage {
  Version held;
  bool answer_wanted = false;
};

// Asks for `wanted`, or for the newest when that is held no more.
struct AskMessage {
  enum class Form : std::uint8_t {
    kDelta = 0,    // From `held`.
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

// Asks for the items of `version` at `indexes`.
struct ItemsAskMessage {
  Version version;
  std::vector<std::uint32_t> indexes;
};

// The items that were asked for, in the order of the indexes.
struct ItemsMessage {
  Version version;
  std::vector<ItemPointer> items;
};

// What the nodes below the sender, and itself, run.
struct ReportMessage {
  DomainView view;
};

// Some peers that the sender knows, for a node that holds nothing.
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

// At least the bytes that `message` takes on the wire, close to it for
// messages with items.
std::size_t WireBytes(const DistributionMessage& message);

// The name of the kind of `message`, for counters.
std::string_view KindOf(const DistributionMessage& message);

}  // namespace verbenastile

#endif  // CORE_DISTRIBUTION_MESSAGE_H_
