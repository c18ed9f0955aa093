#include "cli/blocking_platform.h"

#include <functional>
#include <optional>

namespace verbenastile {
namespace {

constexpr std::size_t kMaxIdleConnections = 2;

// Starts a call and runs `io` until the call has completed.
template <typename T>
PlatformResult<T> Await(
    asio::io_context& io,
    const std::function<void(std::function<void(PlatformResult<T>)>)>& start) {
  std::optional<PlatformResult<T>> done;
  start([&](PlatformResult<T> result) { done = std::move(result); });
  io.restart();
  while (!done) {
    io.run_one();
  }
  return std::move(*done);
}

template <typename T>
leaf::result<T> AwaitValue(
    asio::io_context& io,
    const std::function<void(std::function<void(PlatformResult<T>)>)>& start) {
  PlatformResult<T> result = Await<T>(io, start);
  if (auto* error = std::get_if<PlatformError>(&result)) {
    return leaf::new_error(std::move(*error));
  }
  return std::move(std::get<T>(result));
}

bool IsKind(const PlatformResult<PlatformObject>& result,
            PlatformError::Kind kind) {
  const auto* error = std::get_if<PlatformError>(&result);
  return error != nullptr && error->kind == kind;
}

}  // namespace

BlockingPlatform::BlockingPlatform(const PlatformSettings& settings)
    : http_(io_, kMaxIdleConnections), client_(http_, settings) {}

leaf::result<PlatformObject> BlockingPlatform::Get(std::string_view kind,
                                                   std::string_view name) {
  return AwaitValue<PlatformObject>(
      io_, [&](auto on_done) { client_.Get(kind, name, std::move(on_done)); });
}

leaf::result<std::optional<PlatformObject>> BlockingPlatform::Find(
    std::string_view kind,
    std::string_view name) {
  auto result = Await<PlatformObject>(
      io_, [&](auto on_done) { client_.Get(kind, name, std::move(on_done)); });
  if (IsKind(result, PlatformError::Kind::kNotFound)) {
    return std::optional<PlatformObject>();
  }
  if (auto* error = std::get_if<PlatformError>(&result)) {
    return leaf::new_error(std::move(*error));
  }
  return std::optional(std::move(std::get<PlatformObject>(result)));
}

leaf::result<void> BlockingPlatform::CreateIfMissing(std::string_view kind,
                                                     std::string_view name,
                                                     nlohmann::json spec) {
  auto result = Await<PlatformObject>(io_, [&](auto on_done) {
    client_.Create(kind, name, spec, std::move(on_done));
  });
  auto* error = std::get_if<PlatformError>(&result);
  if (error != nullptr && error->kind != PlatformError::Kind::kConflict) {
    return leaf::new_error(std::move(*error));
  }
  return {};
}

leaf::result<PlatformObject> BlockingPlatform::Create(std::string_view kind,
                                                      std::string_view name,
                                                      nlohmann::json spec) {
  return AwaitValue<PlatformObject>(io_, [&](auto on_done) {
    client_.Create(kind, name, spec, std::move(on_done));
  });
}

leaf::result<PlatformObject> BlockingPlatform::Update(
    std::string_view kind,
    const PlatformObject& object) {
  return AwaitValue<PlatformObject>(io_, [&](auto on_done) {
    client_.Update(kind, object, std::move(on_done));
  });
}

leaf::result<PlatformList> BlockingPlatform::List(std::string_view kind) {
  return AwaitValue<PlatformList>(
      io_, [&](auto on_done) { client_.List(kind, std::move(on_done)); });
}

}  // namespace verbenastile
