// Guards against requests that a stopping node takes late and cuts off (LOST).
#include "mesh_support.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;

// What a sidecar does when it stops accepting requests.
void StopAccepting(Mesh& mesh) {
  mesh.loop.Call([&] {
    mesh.callers->CloseIdle();
    mesh.near->outbound->StopAccepting();
    return 0;
  });
}

void BeginDrain(Mesh& mesh) {
  mesh.loop.Call([&] {
    mesh.callers->BeginDrain();
    return 0;
  });
}

std::string RequestTo(std::string_view path) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
      "Content-Length: 4\r\n\r\nbody",
      path);
}

}  // namespace

TEST_CASE("a request that is read late in the grace period is refused at once",
          "[stopping]") {
  Mesh mesh;
  auto caller =
      RawConnection::ConnectTo(mesh.client_io, mesh.callers->address());

  SECTION("its body was still under way when the others were closed") {
    const std::string request = RequestTo("/unsafe/a");
    caller.Write(request.substr(0, request.size() - 2));
    BeginDrain(mesh);
    std::this_thread::sleep_for(milliseconds(50));
    StopAccepting(mesh);
    caller.Write(request.substr(request.size() - 2));
    const std::string response = caller.ReadAll();
    CHECK(response.starts_with("HTTP/1.1 503 "));
    CHECK(response.find("the node is stopping") != std::string::npos);
    CHECK_FALSE(mesh.Receive(milliseconds(100)));
  }
  SECTION("it was sent ahead, behind a response that began before the stop") {
    caller.Write(RequestTo("/safe/a"));
    auto first = mesh.Receive();
    REQUIRE(first);
    // Long enough to be streamed.
    const std::string body(1'200'000, 'a');
    const std::size_t early = 1'100'000;
    const std::size_t read = 100'000;
    first->connection.Write(fmt::format(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nX-Attempt-Id: r1\r\n"
        "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
        body.size(), body.substr(0, early)));
    caller.ReadUntil("\r\n\r\n");
    caller.ReadBytes(read);
    caller.Write(RequestTo("/unsafe/b"));
    BeginDrain(mesh);
    StopAccepting(mesh);
    first->connection.Write(body.substr(early));
    THEN("it is not read: its caller sends it to another node") {
      CHECK(caller.ReadAll().size() == body.size() - read);
      CHECK_FALSE(mesh.Receive(milliseconds(100)));
    }
  }
}

TEST_CASE(
    "requests that are still running at the end of the grace period get "
    "a response",
    "[stopping]") {
  Mesh mesh;
  RawConnection safe = mesh.Ask("/safe/a");
  auto first = mesh.Receive();
  RawConnection unsafe = mesh.Ask("/unsafe/a");
  auto second = mesh.Receive();
  REQUIRE(first);
  REQUIRE(second);
  mesh.loop.Call([&] {
    mesh.near->outbound->FailAll("the node is stopping");
    return 0;
  });
  for (RawConnection* caller : {&safe, &unsafe}) {
    const std::string response = caller->ReadAll();
    // They may have run.
    CHECK(response.starts_with("HTTP/1.1 504 "));
    CHECK(response.find("the node is stopping") != std::string::npos);
  }
  CHECK(mesh.loop.Call([&] { return mesh.near->outbound->active(); }) == 0);
}

}  // namespace verbenastile
