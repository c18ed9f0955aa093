// Guards against a broken response that reaches a caller, or looks whole to it
// (rule MIXED; issue 54). The instances are stand-ins that send each of them.
#include "broken_responses.h"
#include "mesh_support.h"

namespace verbenastile {
namespace {

using std::chrono::milliseconds;

// More than the kernel takes of an upload that is not read.
constexpr std::size_t kUploadBytes = 24'000'000;
constexpr std::size_t kStreamedBytes = 3'000'000;  // More than is held back.
constexpr const char* kSigned =
    "X-Response-Signature: s\r\nX-Attempt-Id: r1\r\n";

// A caller that uploads a body, and the instance's end of the connection, of
// which only the head was read.
class Upload {
 public:
  explicit Upload(Mesh& mesh, std::size_t size = kUploadBytes)
      : caller_(
            RawConnection::ConnectTo(mesh.client_io, mesh.callers->address())),
        writer_([this, size] {
          caller_.Write(
              fmt::format("POST /unsafe/a HTTP/1.1\r\nHost: a.example\r\n"
                          "X-Attempt-Id: r1\r\nConnection: close\r\n"
                          "Content-Length: {}\r\n\r\n",
                          size) +
              std::string(size, 'x'));
        }),
        instance(mesh.far->listener.Accept()),
        size_(size) {
    instance.ReadUntil("\r\n\r\n");
  }
  ~Upload() {
    if (writer_.joinable()) {
      writer_.join();
    }
  }
  Upload(const Upload&) = delete;
  Upload& operator=(const Upload&) = delete;

  // Reads the rest of the upload.
  void ReadBody() { CHECK(instance.ReadBytes(size_).size() == size_); }
  std::string Response() {
    writer_.join();
    return caller_.ReadAll();
  }

 private:
  RawConnection caller_;
  std::thread writer_;

 public:
  RawConnection instance;

 private:
  std::size_t size_;
};

std::string HeadWithoutLength(int status) {
  return fmt::format("HTTP/1.1 {} X\r\n{}\r\n", status, kSigned);
}

}  // namespace

TEST_CASE("a response without a length ends before the upload is written",
          "[broken-response]") {
  Mesh mesh(false);
  Upload upload(mesh);
  const int status = GENERATE(200, 413, 500);
  CAPTURE(status);

  GIVEN("a part of it, and a reset") {
    const int delay_ms = GENERATE(0, 1, 5, 30, 100);
    CAPTURE(delay_ms);
    upload.instance.Write(HeadWithoutLength(status) + "part");
    std::this_thread::sleep_for(milliseconds(delay_ms));
    upload.instance.Reset();
    CHECK(upload.Response().starts_with("HTTP/1.1 502"));
  }
  GIVEN("a part of it, and an end of which only a reset tells the cause") {
    const int delay_ms = GENERATE(0, 5, 100);
    CAPTURE(delay_ms);
    upload.instance.Write(HeadWithoutLength(status) + "part");
    upload.instance.EndOutput();
    std::this_thread::sleep_for(milliseconds(delay_ms));
    upload.instance.Reset();
    CHECK(upload.Response().starts_with("HTTP/1.1 502"));
  }
  GIVEN("a part of it, and a close with unread input") {
    upload.instance.Write(HeadWithoutLength(status) + "part");
    upload.instance.Close();
    CHECK(upload.Response().starts_with("HTTP/1.1 502"));
  }
  GIVEN("more of it than is held back, and a reset") {
    std::thread writer([&] {
      upload.instance.Write(HeadWithoutLength(status) +
                            std::string(kStreamedBytes, 'x'));
      std::this_thread::sleep_for(milliseconds(50));
      upload.instance.Reset();
    });
    const std::string response = upload.Response();
    writer.join();
    CHECK(response.starts_with(fmt::format("HTTP/1.1 {}", status)));
    CHECK_FALSE(response.ends_with("0\r\n\r\n"));
  }
  GIVEN("all of it, and the upload is read to its end") {
    upload.instance.Write(HeadWithoutLength(status) + "whole");
    upload.instance.EndOutput();
    upload.ReadBody();
    upload.instance.Close();
    const std::string response = upload.Response();
    CHECK(response.starts_with(fmt::format("HTTP/1.1 {}", status)));
    CHECK(response.ends_with("\r\n\r\nwhole"));
  }
}

TEST_CASE("a response with a length comes before the upload is written",
          "[broken-response]") {
  Mesh mesh(false);
  Upload upload(mesh);
  const int status = GENERATE(200, 413, 503);
  CAPTURE(status);
  const bool chunked = GENERATE(false, true);
  const std::string head =
      fmt::format("HTTP/1.1 {} X\r\n{}", status, kSigned) +
      (chunked ? "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
               : "Content-Length: 5\r\n\r\nwhole");

  GIVEN("a connection that stays open") {
    upload.instance.Write(head);
  }
  GIVEN("a connection that ends") {
    upload.instance.Write(head);
    upload.instance.EndOutput();
  }
  GIVEN("a connection that is reset") {
    const int delay_ms = GENERATE(0, 1, 30);
    upload.instance.Write(head);
    std::this_thread::sleep_for(milliseconds(delay_ms));
    upload.instance.Reset();
  }
  const std::string response = upload.Response();
  CHECK(response.starts_with(fmt::format("HTTP/1.1 {}", status)));
  CHECK(response.ends_with("\r\n\r\nwhole"));
}

TEST_CASE("a response without a length ends with its connection",
          "[broken-response]") {
  Mesh mesh(false);
  GIVEN("a request without a body") {
    RawConnection caller = mesh.Ask("/unsafe/a");
    auto request = mesh.Receive();
    REQUIRE(request);
    request->connection.Write(HeadWithoutLength(200) + "whole");
    request->connection.Close();
    CHECK(caller.ReadAll().ends_with("\r\n\r\nwhole"));
  }
  GIVEN("an upload that was read") {
    Upload upload(mesh);
    upload.ReadBody();
    upload.instance.Write(HeadWithoutLength(200) + "whole");
    upload.instance.Close();
    CHECK(upload.Response().ends_with("\r\n\r\nwhole"));
  }
  GIVEN("a large body") {
    RawConnection caller = mesh.Ask("/unsafe/a");
    auto request = mesh.Receive();
    REQUIRE(request);
    std::thread writer([&] {
      request->connection.Write(HeadWithoutLength(200) +
                                std::string(kStreamedBytes, 'x'));
      request->connection.Close();
    });
    CHECK(caller.ReadAll().ends_with("x\r\n0\r\n\r\n"));
    writer.join();
  }
}

TEST_CASE("a response that is not valid reaches no caller",
          "[broken-response]") {
  std::vector<RawResponse> all = MakeBrokenResponses(kSigned);
  for (RawResponse& response : MakeInvalidChunks(kSigned)) {
    all.push_back(std::move(response));
  }
  const RawResponse broken = GENERATE_COPY(from_range(all));
  CAPTURE(broken.name);
  Mesh mesh(false);
  RawConnection caller = mesh.Ask("/unsafe/a");
  auto request = mesh.Receive();
  REQUIRE(request);
  request->connection.Write(broken.bytes);
  request->connection.Close();
  const std::string response = caller.ReadAll();
  CHECK(response.starts_with("HTTP/1.1 502"));
  CHECK(response.find(kBrokenBody) == std::string::npos);
}

TEST_CASE("a chunk that is not valid ends a response that was begun",
          "[broken-response]") {
  Mesh mesh(false);
  RawConnection caller = mesh.Ask("/unsafe/a");
  auto request = mesh.Receive();
  REQUIRE(request);
  std::thread writer([&] {
    request->connection.Write(
        fmt::format("HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n"
                    "{:x}\r\n{}xx0\r\n\r\n",
                    kSigned, kStreamedBytes, std::string(kStreamedBytes, 'x')));
    request->connection.Close();
  });
  const std::string response = caller.ReadAll();
  writer.join();
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK_FALSE(response.ends_with("0\r\n\r\n"));
}

TEST_CASE("a valid response of an unusual form reaches its caller",
          "[broken-response]") {
  const RawResponse unusual =
      GENERATE(from_range(MakeUnusualResponses(kSigned)));
  CAPTURE(unusual.name);
  Mesh mesh(false);
  RawConnection caller = mesh.Ask("/unsafe/a");
  auto request = mesh.Receive();
  REQUIRE(request);
  request->connection.Write(unusual.bytes);
  request->connection.Close();
  const std::string response = caller.ReadAll();
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.ends_with(kWholeBody));
}

TEST_CASE("interim responses are skipped", "[broken-response]") {
  const int status = GENERATE(100, 102, 103, 199);
  CAPTURE(status);
  Mesh mesh(false);
  RawConnection caller = mesh.Ask("/unsafe/a");
  auto request = mesh.Receive();
  REQUIRE(request);
  request->connection.Write(fmt::format("HTTP/1.1 {} X\r\n\r\n", status));
  Mesh::Answer(*request);
  CHECK(caller.ReadAll().ends_with("\r\n\r\nok"));
}

TEST_CASE("a caller of version 1.0 gets no chunks", "[broken-response]") {
  Mesh mesh(false);
  auto caller =
      RawConnection::ConnectTo(mesh.client_io, mesh.callers->address());
  // Callers of this version may keep connections, but not for such a response.
  const std::string keep_alive =
      GENERATE(as<std::string>(), "", "Connection: keep-alive\r\n");
  caller.Write("GET /unsafe/a HTTP/1.0\r\nHost: a.example\r\n" + keep_alive +
               "X-Attempt-Id: r1\r\n\r\n");
  auto request = mesh.Receive();
  REQUIRE(request);
  const std::string body(kStreamedBytes, 'x');
  const bool whole = GENERATE(false, true);
  CAPTURE(whole);
  std::thread writer([&] {
    request->connection.Write(
        fmt::format("HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n"
                    "{:x}\r\n{}\r\n{}",
                    kSigned, body.size(), body, whole ? "0\r\n\r\n" : ""));
    request->connection.Close();
  });
  const std::string head = caller.ReadUntil("\r\n\r\n");
  const std::string received = caller.ReadAll();
  writer.join();
  CHECK(head.find("Transfer-Encoding") == std::string::npos);
  CHECK(head.find("Connection: close\r\n") != std::string::npos);
  CHECK((received == body) == whole);
  CHECK(caller.was_reset() != whole);
}

}  // namespace verbenastile
