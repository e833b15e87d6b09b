// YAML files as strict schema values.
//
//   YamlResult<NodeSettings> settings = LoadNodeSettings("node.yaml");
//   if (const YamlError* error = std::get_if<YamlError>(&settings)) {
//     std::cerr << Describe(*error) << "\n";
//   }
//
// Plain scalars are numbers, booleans and nulls by the rules of the YAML core schema, otherwise
// texts; quoted scalars are texts. Duplicate keys, unknown fields, several documents, unknown tags
// and files above 4 MiB are errors. Errors name file, line, field and what was expected; they never
// quote a value, which may be a secret. Nothing throws.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "values/generated/platform.h"
#include "values/generated/records.h"
#include "values/generated/settings.h"

namespace jackdawwind::wire {

template<typename T>
using YamlResult = std::variant<T, YamlError>;

/// One line for people: "file:line: field: expected X, found Y".
std::string Describe(const YamlError& aError);

/// Settings of a node from a file.
YamlResult<NodeSettings> LoadNodeSettings(const std::string& aPath);

/// Settings of a node from a text; aFile is named in errors.
YamlResult<NodeSettings> ParseNodeSettings(const std::string& aText, const std::string& aFile);

/// One configuration file from a text; aFile is named in errors.
YamlResult<ConfigurationFile> ParseConfigurationFile(const std::string& aText,
                                                     const std::string& aFile);

/// Items of a configuration folder, ordered by path: its files *.yaml and *.yml in the order of
/// their names; later files replace items of earlier ones, and revoked keys are left out. A folder
/// without such files is an error, so that a wrong path cannot remove a whole configuration.
YamlResult<std::vector<ConfigItem>> LoadConfigurationFolder(const std::string& aPath);

} // namespace jackdawwind::wire
