// Guards against work for callers that left (rule GONE): requests that reach an
// instance after their caller closed its connection, and instances that are
// still at work for such a caller.
#include "mesh_support.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An instance may be at work for a caller that left for at most this long.
constexpr Duration kMaxWorkAfterLeaving = milliseconds(500);

// Waits until the counter of "near" has the value.
void WaitForCount(Mesh& mesh, std::string_view counter, std::uint64_t value) {
  while (mesh.Count(counter) < value) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

// Waits until "near" has passed this many calls to its link.
void WaitForActive(Mesh& mesh, std::size_t calls) {
  while (mesh.loop.Call([&] { return mesh.near->outbound->active(); }) !=
         calls) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

bool EndsInTime(RawConnection& connection) {
  const Time begin = SteadyNow();
  return connection.AtEnd() && SteadyNow() - begin < kMaxWorkAfterLeaving;
}

}  // namespace

TEST_CASE("a request that is read after its caller left reaches no instance",
          "[caller-gone]") {
  Mesh mesh;

  SECTION("on a new connection") {
    LoopPause pause(mesh.loop);
    mesh.Ask("/safe/a").Close();
    pause.Resume();
    CHECK_FALSE(mesh.Receive(milliseconds(300)));
  }
  SECTION("on a connection that had a request before") {
    auto caller =
        RawConnection::ConnectTo(mesh.client_io, mesh.callers->address());
    const std::string request =
        "GET /safe/a HTTP/1.1\r\nHost: a.example\r\n"
        "X-Attempt-Id: r1\r\n\r\n";
    caller.Write(request);
    auto first = mesh.Receive();
    REQUIRE(first);
    Mesh::Answer(*first);
    caller.ReadUntil("\r\n\r\nok");
    LoopPause pause(mesh.loop);
    caller.Write(request);
    caller.Close();
    pause.Resume();
    CHECK_FALSE(mesh.Receive(milliseconds(300)));
  }
  SECTION("a caller that waits is served") {
    LoopPause pause(mesh.loop);
    RawConnection caller = mesh.Ask("/safe/a");
    pause.Resume();
    auto request = mesh.Receive();
    REQUIRE(request);
    Mesh::Answer(*request);
    CHECK(caller.ReadAll().find("200 OK") != std::string::npos);
  }
}

TEST_CASE("a call that is read together with its cancel reaches no instance",
          "[caller-gone]") {
  Mesh mesh(false);
  LoopPause pause(mesh.far_loop);
  RawConnection caller = mesh.Ask("/safe/a");
  WaitForActive(mesh, 1);

  SECTION("the caller left") {
    caller.Close();
    WaitForCount(mesh, "callers_gone_total", 1);
    pause.Resume();
    CHECK_FALSE(mesh.Receive(milliseconds(500)));
  }
  SECTION("the link ended") {
    mesh.loop.Call([&] {
      mesh.near->links->Close();
      return 0;
    });
    pause.Resume();
    CHECK_FALSE(mesh.Receive(milliseconds(500)));
  }
  SECTION("another call on the link has a caller that waits") {
    RawConnection other = mesh.Ask("/safe/b");
    WaitForActive(mesh, 2);
    caller.Close();
    WaitForCount(mesh, "callers_gone_total", 1);
    pause.Resume();
    auto request = mesh.Receive();
    REQUIRE(request);
    CHECK_FALSE(mesh.Receive(milliseconds(300)));
    Mesh::Answer(*request);
    CHECK(other.ReadAll().find("200 OK") != std::string::npos);
  }
}

TEST_CASE("a close behind requests that were sent ahead is noticed",
          "[caller-gone]") {
  // More than is read ahead, and little enough that all of it and the close
  // reach the machine.
  constexpr std::size_t kSentAhead = 70'000;
  Mesh mesh(false);
  auto caller =
      RawConnection::ConnectTo(mesh.client_io, mesh.callers->address());
  caller.Write(fmt::format("GET /safe/a HTTP/1.1\r\nHost: a.example\r\n"
                           "X-Attempt-Id: r1\r\n\r\n"
                           "POST /safe/b HTTP/1.1\r\nHost: a.example\r\n"
                           "Content-Length: {}\r\n\r\n",
                           kSentAhead) +
               std::string(kSentAhead, 'x'));
  auto request = mesh.Receive();
  REQUIRE(request);
  caller.Close();
  CHECK(EndsInTime(request->connection));
}

// The old link may be half open: nobody tells its end.
TEST_CASE("a node that links anew ends what it sent on its earlier link",
          "[caller-gone]") {
  Mesh mesh(false);
  const SocketAddress links_at = mesh.far->record.member.peer_address;
  PlayedNode before(mesh.client_io, links_at);

  SECTION("a call that may be repeated is broken off") {
    before.Send(MakeGateCall(1, true));
    auto request = mesh.Receive();
    REQUIRE(request);
    PlayedNode after(mesh.client_io, links_at);
    after.Send({0, LinkPing{}});
    CHECK(EndsInTime(request->connection));
  }
  SECTION("a call that may not be repeated runs to its end") {
    before.Send(MakeGateCall(1, false));
    auto request = mesh.Receive();
    REQUIRE(request);
    PlayedNode after(mesh.client_io, links_at);
    after.Send(MakeGateCall(2, true));
    auto next = mesh.Receive();
    REQUIRE(next);
    Mesh::Answer(*request);
    CHECK(request->connection.AtEnd());
  }
  // Guards against calls that are lost (rule LOST) when a node opens a link to
  // an address that belonged to another one, finds this node, and gives it up.
  SECTION("a link that is given up after the hello ends nothing") {
    before.Send(MakeGateCall(1, true));
    auto request = mesh.Receive();
    REQUIRE(request);
    PlayedNode given_up(mesh.client_io, links_at);
    given_up.connection.ReadBytes(1);
    given_up.connection.Close();
    Mesh::Answer(*request);
    CHECK(before.ReadResponse().body == "ok");
  }
  SECTION("a frame without a hello ends no link that has yet to say hello") {
    PlayedNode silent(RawConnection::ConnectTo(mesh.client_io, links_at));
    PlayedNode stranger(RawConnection::ConnectTo(mesh.client_io, links_at));
    stranger.Send({0, LinkPing{}});
    stranger.connection.ReadBytes(1);
    silent.SendHello();
    silent.Send(MakeGateCall(1, true));
    auto request = mesh.Receive();
    REQUIRE(request);
    Mesh::Answer(*request);
    CHECK(silent.ReadResponse().body == "ok");
  }
  SECTION("calls on the new link run") {
    PlayedNode after(mesh.client_io, links_at);
    after.Send(MakeGateCall(1, true));
    auto request = mesh.Receive();
    REQUIRE(request);
    Mesh::Answer(*request);
    CHECK(after.ReadResponse().body == "ok");
  }
}

TEST_CASE("an instance sees that a caller left", "[caller-gone]") {
  Mesh mesh(false);

  SECTION("while it works") {
    RawConnection caller = mesh.Ask("/safe/a");
    auto request = mesh.Receive();
    REQUIRE(request);
    caller.Close();
    CHECK(EndsInTime(request->connection));
  }
  SECTION("while the caller does not read a response under way") {
    RawConnection caller = mesh.Ask("/safe/a");
    auto request = mesh.Receive();
    REQUIRE(request);
    constexpr std::size_t kBytes = 50'000'000;
    request->connection.Write(
        fmt::format("HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n"
                    "X-Attempt-Id: r1\r\nContent-Length: {}\r\n\r\n",
                    kBytes));
    std::thread writer(
        [&] { request->connection.Write(std::string(kBytes, 'x')); });
    caller.ReadUntil("\r\n\r\n");
    caller.Close();
    const Time left = SteadyNow();
    // The write fails once the connection is closed.
    writer.join();
    CHECK(SteadyNow() - left < kMaxWorkAfterLeaving);
  }
  SECTION("at which its call only waits") {
    std::vector<RawConnection> callers;
    std::vector<Received> running;
    for (std::uint32_t i = 0; i < kMeshSlots; ++i) {
      callers.push_back(mesh.Ask("/safe/a"));
      auto request = mesh.Receive();
      REQUIRE(request);
      running.push_back(std::move(*request));
    }
    RawConnection waiting = mesh.Ask("/safe/b");
    WaitForActive(mesh, kMeshSlots + 1);
    waiting.Close();
    WaitForCount(mesh, "callers_gone_total", 1);
    for (Received& request : running) {
      Mesh::Answer(request);
    }
    CHECK_FALSE(mesh.Receive(milliseconds(300)));
  }
}

TEST_CASE("nothing starts anew for a caller that left", "[caller-gone]") {
  Mesh mesh;
  RawConnection caller = mesh.Ask("/safe/a");
  auto first = mesh.Receive();
  REQUIRE(first);
  caller.Close();
  WaitForCount(mesh, "callers_gone_total", 1);

  SECTION("when its instance breaks") {
    first->connection.Close();
  }
  SECTION("when the link breaks") {
    mesh.far_loop.Call([&] {
      mesh.far->links->Close();
      return 0;
    });
  }
  CHECK_FALSE(mesh.Receive(milliseconds(300)));
}

}  // namespace verbenastile
