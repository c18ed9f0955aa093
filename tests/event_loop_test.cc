#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "io/event_loop.h"

namespace verbenastile {
namespace {

SCENARIO("an exception ends only the handler that threw it") {
  asio::io_context io;
  std::vector<std::string> errors;
  int handled = 0;
  asio::post(io, [&] { ++handled; });
  asio::post(io, [] { throw std::runtime_error("malformed"); });
  asio::post(io, [] { throw std::out_of_range("missing"); });
  asio::post(io, [&] { ++handled; });
  RunEventLoop(io, [&](std::string_view error) { errors.emplace_back(error); });
  CHECK(handled == 2);
  CHECK(errors == std::vector<std::string>{"malformed", "missing"});
}

}  // namespace
}  // namespace verbenastile
