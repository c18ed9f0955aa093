#include "core/distribution_message.h"

#include <numeric>

namespace verbenastile {
namespace {

// Upper bounds for parts of a message in the packed wire encoding.
constexpr std::size_t kEnvelopeBytes = 96;
constexpr std::size_t kSpliceBytes = 24;
constexpr std::size_t kItemBytes = 32;
constexpr std::size_t kDigestBytes = 20;
constexpr std::size_t kIndexBytes = 5;
constexpr std::size_t kCountBytes = 20;
// Packing adds at most one byte per 8 bytes of text, plus a few at its ends.
constexpr std::size_t kTextBytesPerPackingByte = 8;

std::size_t TextBytes(const std::string& text) {
  return text.size() + text.size() / kTextBytesPerPackingByte;
}

std::size_t ItemsBytes(const std::vector<ItemPointer>& items) {
  return std::accumulate(items.begin(), items.end(), std::size_t{0},
                         [](std::size_t sum, const ItemPointer& item) {
                           return sum + kItemBytes + TextBytes(item->body);
                         });
}

struct BytesOf {
  std::size_t operator()(const SummaryMessage&) const { return 0; }
  std::size_t operator()(const AskMessage&) const { return 0; }
  std::size_t operator()(const Delta& delta) const {
    std::size_t bytes = 0;
    for (const Splice& splice : delta.splices) {
      bytes += kSpliceBytes + ItemsBytes(splice.items);
    }
    return bytes;
  }
  std::size_t operator()(const DigestsMessage& message) const {
    return message.digests.size() * kDigestBytes;
  }
  std::size_t operator()(const ItemsAskMessage& message) const {
    return message.indexes.size() * kIndexBytes;
  }
  std::size_t operator()(const ItemsMessage& message) const {
    return ItemsBytes(message.items);
  }
  std::size_t operator()(const ReportMessage& message) const {
    const DomainView& view = message.view;
    std::size_t bytes = TextBytes(view.failure_domain) + kEnvelopeBytes +
                        TextBytes(view.refusal.reason) +
                        view.counts.size() * kCountBytes;
    for (const Laggard& laggard : view.laggards) {
      bytes += kItemBytes + TextBytes(laggard.name);
    }
    return bytes;
  }
  std::size_t operator()(const ContactsMessage& message) const {
    std::size_t bytes = 0;
    for (const PeerIdentity& peer : message.peers) {
      bytes += 2 * kItemBytes + TextBytes(peer.name) +
               TextBytes(peer.failure_domain) + TextBytes(peer.control.ip);
    }
    return bytes;
  }
};

constexpr std::string_view kKinds[] = {"summary", "ask",       "delta",
                                       "digests", "items_ask", "items",
                                       "report",  "contacts"};

}  // namespace

std::size_t WireBytes(const DistributionMessage& message) {
  return kEnvelopeBytes + std::visit(BytesOf{}, message);
}

std::string_view KindOf(const DistributionMessage& message) {
  return kKinds[message.index()];
}

}  // namespace verbenastile
