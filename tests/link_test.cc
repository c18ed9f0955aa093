#include "mesh/link.h"

#include <algorithm>
#include <asio/connect.hpp>
#include <catch2/catch.hpp>

#include "net_support.h"

namespace verbenastile {
namespace {

using CallIds = std::vector<CallId>;

// A link to a peer that reads only what the test reads.
struct LinkFixture {
  LinkFixture() {
    loop.Call([this] {
      asio::ip::tcp::socket socket(loop.io);
      socket.connect({asio::ip::make_address(listener.address().ip),
                      listener.address().port});
      link = std::make_shared<Link>(std::move(socket), &deltas);
      link->Open({[](LinkFrame) {},
                  [this](std::string_view) {
                    at_break = link->UnsentCalls();
                    broken.set_value();
                  }});
    });
  }
  ~LinkFixture() {
    loop.Call([this] { link.reset(); });
  }

  void Send(CallId id, std::size_t body_bytes) {
    loop.Call([&] {
      GateCall call;
      call.service = "booking";
      call.body = std::string(body_bytes, static_cast<char>('a' + id % 26));
      link->Send({id, std::move(call)});
    });
  }

  RawListener listener;
  SmallTextDeltas deltas;
  std::promise<void> broken;
  CallIds at_break;
  LoopThread loop;
  std::shared_ptr<Link> link;
};

// The calls that are whole in `bytes`.
CallIds Received(const std::string& bytes) {
  SmallTextDeltas deltas;
  LinkReader reader(&deltas);
  reader.Append(bytes.data(), bytes.size());
  CallIds received;
  while (true) {
    const auto next = reader.Next();
    const auto* frame = std::get_if<std::optional<LinkFrame>>(&next);
    REQUIRE(frame != nullptr);
    if (!*frame) {
      return received;
    }
    received.push_back((*frame)->call);
  }
}

SCENARIO("a link tells which calls its peer cannot have received") {
  LinkFixture fixture;
  RawConnection peer = fixture.listener.Accept();

  GIVEN("a peer that stops reading while large calls are sent") {
    constexpr std::size_t kBodyBytes = 4'000'000;
    constexpr CallId kCalls = 8;
    for (CallId id = 1; id <= kCalls; ++id) {
      fixture.Send(id, kBodyBytes);
    }
    THEN("those that it did not get whole are unsent when the link closes") {
      const CallIds unsent = fixture.loop.Call([&] {
        fixture.link->Close();
        return fixture.link->UnsentCalls();
      });
      CallIds all = Received(peer.ReadAll());
      CHECK_FALSE(unsent.empty());
      all.insert(all.end(), unsent.begin(), unsent.end());
      std::sort(all.begin(), all.end());
      CHECK(all == CallIds{1, 2, 3, 4, 5, 6, 7, 8});
    }
    THEN("they are known as unsent when the peer breaks the link") {
      peer.Close();
      fixture.broken.get_future().get();
      CHECK(std::find(fixture.at_break.begin(), fixture.at_break.end(),
                      kCalls) != fixture.at_break.end());
    }
    THEN("none is unsent once the peer has read them all") {
      std::string bytes = peer.ReadBytes(kCalls * kBodyBytes);
      fixture.loop.Call([&] { fixture.link->Close(); });
      bytes += peer.ReadAll();
      CHECK(Received(bytes).size() == kCalls);
      CHECK(fixture.loop.Call([&] { return fixture.link->UnsentCalls(); })
                .empty());
    }
  }
  GIVEN("a small call that the peer has read") {
    fixture.Send(1, 10);
    fixture.loop.Call([] {});
    THEN("it is not unsent, whatever happens to the link") {
      fixture.loop.Call([&] { fixture.link->Close(); });
      CHECK(Received(peer.ReadAll()) == CallIds{1});
      CHECK(fixture.loop.Call([&] { return fixture.link->UnsentCalls(); })
                .empty());
    }
  }
}

}  // namespace
}  // namespace verbenastile
