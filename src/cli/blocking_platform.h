// The platform client for tools that do one thing at a time.
#ifndef CLI_BLOCKING_PLATFORM_H_
#define CLI_BLOCKING_PLATFORM_H_

#include <asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string_view>

#include "io/platform_client.h"

namespace verbenastile {

namespace leaf = boost::leaf;

// Each call runs its own loop until it is answered. Errors: `PlatformError`.
class BlockingPlatform {
 public:
  explicit BlockingPlatform(const PlatformSettings& settings);

  leaf::result<PlatformObject> Get(std::string_view kind,
                                   std::string_view name);
  // Nothing when there is no object of that name.
  leaf::result<std::optional<PlatformObject>> Find(std::string_view kind,
                                                   std::string_view name);
  // As `Create`; an object of that name that is there already is no error.
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
