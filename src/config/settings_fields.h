// Fields that the settings of several programs share.
#ifndef CONFIG_SETTINGS_FIELDS_H_
#define CONFIG_SETTINGS_FIELDS_H_

#include <string>
#include <string_view>

#include "config/settings.h"
#include "config/yaml_reader.h"

namespace verbenastile {

// Whether `text` is a short name of plain characters.
bool IsName(std::string_view text);

// The name under `key`; a fault when it is missing or not a name.
std::string ReadName(YamlReader& reader, std::string_view key);

// The address under `key`; a fault when it is missing or no IP:PORT.
SocketAddress ReadAddress(YamlReader& reader, std::string_view key);

}  // namespace verbenastile

#endif  // CONFIG_SETTINGS_FIELDS_H_
