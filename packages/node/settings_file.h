// Reads the node's settings from a YAML file.
//
//   wire::Decoded<NodeSettings> settings = LoadSettings("/etc/jackdawwind/node.yaml");
//
// Plain scalars true, false and whole numbers have those types, quoted ones are texts. Errors name
// the field's path and never show a value, which may be a secret.
#pragma once

#include <string>

#include "values/generated/settings.h"
#include "wire/codec.h"

namespace jackdawwind::node {

wire::Decoded<NodeSettings> LoadSettings(const std::string& aFile);

/// Settings in a YAML text.
wire::Decoded<NodeSettings> ParseSettings(const std::string& aText);

} // namespace jackdawwind::node
