// A blocking platform client for command-line tools.
#ifndef CLI_BLOCKING_PLATFORM_H_
#define CLI_BLOCKING_PLATFORM_H_

#include <asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string_view>

#include "io/platform_client.h"

namespace verbenastile {

namespace leaf = boost::leaf;

// Each call runs the event loop until its response arrives. Errors:
// `PlatformError`.
class BlockingPlatform {
 public:
  explicit BlockingPlatform(const PlatformSettings& settings);

  leaf::result<PlatformObject> Get(std::string_view kind,
                                   std::string_view name);
  // Returns nullopt if no object has that name.
  leaf::result<std::optional<PlatformObject>> Find(std::string_view kind,
                                                   std::string_view name);
  // Like `Create`, but succeeds if an object of that name already exists.
  leaf::result<void> CreateIfMissing(std::string_view kind,
                                     std::string_view name,
                                     nlohmann::json spec);
  leaf::result<PlatformObject> Create(std::string_view kind,
                                      std::string_view name,
                                      nlohmann::json spec);
  leaf::result<PlatformObject> Update(std::string_view kind,
                                      const PlatformObject& object);
  leaf::result<PlatformList> List(std::string_view kind);

 private:
  asio::io_context io_{1};
  HttpClient http_;
  PlatformClient client_;
};

}  // namespace verbenastile

#endif  // CLI_BLOCKING_PLATFORM_H_
