// Guards against a request that is not valid and that instances get all the
// same, possibly with another head or body than the client's (rule UNASKED;
// issue 54).
#include "mesh_support.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;
using std::string_literals::operator""s;

struct RawRequest {
  const char* name = "";
  std::string bytes;
};

constexpr const char* kAttempt = "Host: a.example\r\nX-Attempt-Id: r1\r\n";

std::string WithLine(const std::string& line, const std::string& body = {}) {
  return "POST /unsafe/a HTTP/1.1\r\n" + (kAttempt + line) + "\r\n" + body;
}

std::string WithStartLine(const std::string& line) {
  return line + "\r\n" + kAttempt + "\r\n";
}

std::vector<RawRequest> InvalidHeads() {
  return {
      {"version 2.0", WithStartLine("GET /unsafe/a HTTP/2.0")},
      {"version 0.9", WithStartLine("GET /unsafe/a HTTP/0.9")},
      {"no version", WithStartLine("GET /unsafe/a")},
      {"a tab in the target", WithStartLine("GET /unsafe/a\tb HTTP/1.1")},
      {"a control byte in the target",
       WithStartLine("GET /unsafe/a\fb HTTP/1.1")},
      {"a blank before the colon", WithLine("X-Tenant : x\r\n")},
      {"a blank in a name", WithLine("X Tenant: x\r\n")},
      {"a control byte in a name", WithLine("X-\x01Tenant: x\r\n")},
      {"a NUL in a name", WithLine("X-\0Tenant: x\r\n"s)},
      {"an empty name", WithLine(": x\r\n")},
      {"a control byte that begins a value", WithLine("X-Other: \x01x\r\n")},
      {"a NUL that begins a value", WithLine("X-Other: \0x\r\n"s)},
      {"a control byte in a value", WithLine("X-Other: a\x01x\r\n")},
      {"CR alone in a value", WithLine("X-Other: a\rb\r\n")},
      {"CR alone that ends an empty value",
       WithLine("X-Other:\rxX-Tenant: x\r\n")},
      {"a folded line", WithLine("X-Other: a\r\n X-Tenant: x\r\n")},
      {"a blank that begins the first line",
       "GET /unsafe/a HTTP/1.1\r\n X-Other: a\r\n"s + kAttempt + "\r\n"},
      {"two hosts", WithLine("Host: b.example\r\n")},
      {"an encoding with a blank before the colon",
       WithLine("Transfer-Encoding : chunked\r\n", "0\r\n\r\n")},
      {"a length with a blank before the colon",
       WithLine("Content-Length : 4\r\n", "body")},
      {"a length with a blank in its name",
       WithLine("Content Length: 4\r\n", "body")},
  };
}

std::vector<RawRequest> InvalidBodies() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n";
  return {
      {"two lengths that differ",
       WithLine("Content-Length: 4\r\nContent-Length: 2\r\n", "body")},
      {"a length with a sign", WithLine("Content-Length: +4\r\n", "body")},
      {"a length with a blank", WithLine("Content-Length: 4 4\r\n", "body")},
      {"an empty length", WithLine("Content-Length:\r\n", "body")},
      {"a length beside chunks",
       WithLine("Content-Length: 4\r\n" + chunked, "0\r\n\r\n")},
      {"an encoding that is not known",
       WithLine("Transfer-Encoding: rot13\r\n", "body")},
      {"an encoding before chunks",
       WithLine("Transfer-Encoding: rot13, chunked\r\n",
                "4\r\nbody\r\n0\r\n\r\n")},
      {"an encoding behind chunks",
       WithLine("Transfer-Encoding: chunked, rot13\r\n",
                "4\r\nbody\r\n0\r\n\r\n")},
      {"an empty encoding",
       WithLine("Transfer-Encoding:\r\n", "4\r\nbody\r\n0\r\n\r\n")},
      {"a blank in a chunk size",
       WithLine(chunked, "4 0\r\nbody\r\n0\r\n\r\n")},
      {"CR alone behind a chunk size",
       WithLine(chunked, "4\rxbody\r\n0\r\n\r\n")},
      {"other bytes in place of a chunk's line end",
       WithLine(chunked, "4\r\nbodyxx0\r\n\r\n")},
      {"a trailer with a blank in its name",
       WithLine(chunked, "4\r\nbody\r\n0\r\nX Name: 1\r\n\r\n")},
      {"other bytes in place of the last line end",
       WithLine(chunked, "4\r\nbody\r\n0\r\n\rx")},
  };
}

}  // namespace

TEST_CASE("a request that is not valid reaches no instance",
          "[broken-request]") {
  std::vector<RawRequest> all = InvalidHeads();
  for (RawRequest& request : InvalidBodies()) {
    all.push_back(std::move(request));
  }
  const RawRequest broken = GENERATE_COPY(from_range(all));
  CAPTURE(broken.name);
  Mesh mesh(false);
  auto caller =
      RawConnection::ConnectTo(mesh.client_io, mesh.callers->address());
  caller.Write(broken.bytes);
  auto request = mesh.Receive(milliseconds(100));
  CHECK_FALSE(request);
  if (request) {
    Mesh::Answer(*request);
  }
  const std::string response = caller.ReadUntil("\r\n\r\n");
  CHECK(response.starts_with("HTTP/1.1 400"));
  CHECK(caller.AtEnd());
}

TEST_CASE("a valid request of an unusual form reaches its instance",
          "[broken-request]") {
  Mesh mesh(false);
  auto caller =
      RawConnection::ConnectTo(mesh.client_io, mesh.callers->address());

  SECTION("an empty line before it") {
    caller.Write("\r\n" + WithLine("X-Other: a\r\n"));
  }
  SECTION("blanks and tabs around values and in them") {
    caller.Write(WithLine("X-Other: \t a\tb  c \t\r\nX-Empty:\r\n"));
  }
  SECTION("bytes over 127 in a value, and each character of names") {
    caller.Write(WithLine("X-Other: \xc3\xa4\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n"));
  }
  SECTION("lines that end with LF alone") {
    caller.Write(
        "GET /unsafe/a HTTP/1.1\nHost: a.example\nX-Attempt-Id: r1\n\n");
  }
  SECTION("chunks with extensions and trailers") {
    caller.Write(WithLine("Transfer-Encoding: chunked\r\n",
                          "4;a=b\r\nbody\r\n0\r\nX-Name: 1\r\n\r\n"));
  }
  SECTION("version 1.0") {
    caller.Write(WithStartLine("GET /unsafe/a HTTP/1.0"));
  }
  auto request = mesh.Receive();
  REQUIRE(request);
  Mesh::Answer(*request);
  CHECK(caller.ReadUntil("ok").starts_with("HTTP/1.1 200"));
}

TEST_CASE("a peer's call that is not valid reaches no instance",
          "[broken-request]") {
  Mesh mesh(false);
  PlayedNode peer(mesh.client_io, mesh.far->record.member.peer_address);
  LinkFrame frame = MakeGateCall(1, false);
  auto& call = std::get<GateCall>(frame.body);

  SECTION("a blank in a name") {
    call.headers.push_back({"X-Tenant ", "x"});
  }
  SECTION("a line end in a value") {
    call.headers.push_back({"X-Other", "a\r\nX-Tenant: x"});
  }
  SECTION("a header that frames the body") {
    call.headers.push_back({"Transfer-Encoding", "chunked"});
  }
  SECTION("a length") {
    call.headers.push_back({"Content-Length", "4"});
  }
  SECTION("a blank in the target") {
    call.target = "/unsafe/a HTTP/1.1\r\nX-Tenant: x\r\n\r\n";
  }
  SECTION("no target") {
    call.target.clear();
  }
  SECTION("a blank in the method") {
    call.method = "GET /unsafe/b HTTP/1.1\r\n\r\nPOST";
  }
  peer.Send(frame);
  CHECK(peer.ReadResponse().status == 400);
  CHECK_FALSE(mesh.Receive(milliseconds(50)));
  peer.Send(MakeGateCall(1, false));
  auto request = mesh.Receive();
  REQUIRE(request);
  Mesh::Answer(*request);
  CHECK(peer.ReadResponse().body == "ok");
}

}  // namespace verbenastile
