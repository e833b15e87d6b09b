// Loads YAML files strictly as schema values.
//
//   YamlResult<NodeSettings> settings = LoadNodeSettings("node.yaml");
//   if (const YamlError* error = std::get_if<YamlError>(&settings)) {
//     std::cerr << Describe(*error) << "\n";
//   }
//
// Plain scalars are resolved to numbers, booleans, nulls or strings by the YAML core schema; quoted
// scalars are strings. Duplicate keys, unknown fields, multiple documents, tags other than !!str
// and files larger than 4 MiB are errors. An error names the file, the line, the field and the
// expected value; it never quotes a string, which may be a secret. No function throws.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "values/generated/platform.h"
#include "values/generated/records.h"
#include "values/generated/settings.h"

namespace jackdawwind::wire {

/// A loaded value or the first error.
template<typename T>
using YamlResult = std::variant<T, YamlError>;

/// Formats an error as one line: "file:line: field: expected X, found Y".
std::string Describe(const YamlError& aError);

/// Loads the settings of a node from a file.
YamlResult<NodeSettings> LoadNodeSettings(const std::string& aPath);

/// Parses the settings of a node from text; errors name aFile.
YamlResult<NodeSettings> ParseNodeSettings(const std::string& aText, const std::string& aFile);

/// Parses a policy file from text; errors name aFile. Two entries for a region are an error.
YamlResult<NodePolicy> ParseNodePolicy(const std::string& aText, const std::string& aFile);

/// Loads a policy file.
YamlResult<NodePolicy> LoadNodePolicy(const std::string& aPath);

/// Parses one configuration file from text; errors name aFile.
YamlResult<ConfigurationFile> ParseConfigurationFile(const std::string& aText,
                                                     const std::string& aFile);

/// Loads the items of a configuration folder, ordered by item path. The files *.yaml and *.yml are
/// merged in the order of their names; later files replace items of earlier ones, and revoked keys
/// are removed. A folder without such files is an error, so that a wrong path cannot remove a whole
/// configuration.
YamlResult<std::vector<ConfigItem>> LoadConfigurationFolder(const std::string& aPath);

} // namespace jackdawwind::wire
