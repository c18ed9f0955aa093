// Tests that a late request is answered by its copy, over a link between two
// nodes whose instances are raw sockets.
#include "mesh_support.h"

namespace verbenastile {

using std::chrono::seconds;

TEST_CASE("a late request is answered by its copy", "[copies]") {
  Mesh mesh;
  mesh.LearnTimes("/safe/a");
  RawConnection caller = mesh.Ask("/safe/a");
  auto first = mesh.Receive();
  REQUIRE(first);
  auto copy = mesh.Receive();
  REQUIRE(copy);
  CHECK(copy->near != first->near);
  CHECK(mesh.Count("copy_sent_total") == 1);

  SECTION("the copy answers: the first instance sees its caller leave") {
    Mesh::Answer(*copy);
    CHECK(caller.ReadAll().find("200 OK") != std::string::npos);
    CHECK(first->connection.AtEnd());
    CHECK(mesh.Count("copy_won_total") == 1);
  }
  SECTION("the first one answers: the copy's instance does") {
    Mesh::Answer(*first);
    CHECK(caller.ReadAll().find("200 OK") != std::string::npos);
    CHECK(copy->connection.AtEnd());
    CHECK(mesh.Count("copy_cancelled_total") == 1);
  }
  SECTION("the first one breaks: the copy answers, and nothing is repeated") {
    first->connection.Close();
    Mesh::Answer(*copy);
    CHECK(caller.ReadAll().find("200 OK") != std::string::npos);
    CHECK(mesh.Count("requests_sent_again_total") == 0);
  }
  SECTION("both break: it may have run") {
    copy->connection.Close();
    first->connection.Close();
    CHECK(caller.ReadAll().find(" 502 ") != std::string::npos);
  }
  SECTION("the caller leaves: both instances see it") {
    caller.Close();
    CHECK(first->connection.AtEnd());
    CHECK(copy->connection.AtEnd());
  }
}

TEST_CASE("a request that may run once has no copy", "[copies]") {
  Mesh mesh;
  mesh.LearnTimes("/unsafe/a");
  RawConnection caller = mesh.Ask("/unsafe/a");
  auto first = mesh.Receive();
  REQUIRE(first);
  CHECK_FALSE(mesh.Receive(seconds(1)));
  Mesh::Answer(*first);
  CHECK(caller.ReadAll().find("200 OK") != std::string::npos);
  CHECK(mesh.Count("copy_sent_total") == 0);
}

}  // namespace verbenastile
