// Readers of fields that the settings of nodes and sidecars have in common.
#ifndef CONFIG_SETTINGS_FIELDS_H_
#define CONFIG_SETTINGS_FIELDS_H_

#include <string>
#include <string_view>

#include "config/settings.h"
#include "config/yaml_reader.h"

namespace verbenastile {

// Returns whether `text` is a valid name: 1 to 100 characters, which are ASCII
// letters, digits, '.', '-' or '_'.
bool IsValidName(std::string_view text);

// Reads the name under `key`; adds a fault if it is missing or not a valid
// name.
std::string ReadName(YamlReader& reader, std::string_view key);

// Reads the address under `key`; adds a fault if it is missing or not IP:PORT.
SocketAddress ReadAddress(YamlReader& reader, std::string_view key);

}  // namespace verbenastile

#endif  // CONFIG_SETTINGS_FIELDS_H_
