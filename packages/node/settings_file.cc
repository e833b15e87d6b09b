#include "node/settings_file.h"

#include <charconv>
#include <cstdint>
#include <fstream>
#include <sstream>

#include <yaml-cpp/yaml.h>

#include "wire/generated/settings_codec.h"

namespace jackdawwind::node {

namespace {

/// Tag that the YAML library gives to quoted scalars.
constexpr const char* kQuotedTag = "!";

Json::Value
ScalarJson(const YAML::Node& aNode)
{
  const std::string& text = aNode.Scalar();
  if (aNode.Tag() == kQuotedTag) {
    return text;
  }
  if (text == "true" || text == "false") {
    return text == "true";
  }
  std::int64_t number = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result result = std::from_chars(text.data(), end, number);
  if (!text.empty() && result.ec == std::errc() && result.ptr == end) {
    return static_cast<Json::Int64>(number);
  }
  return text;
}

Json::Value
ToJson(const YAML::Node& aNode)
{
  if (aNode.IsMap()) {
    Json::Value object(Json::objectValue);
    for (auto entry = aNode.begin(); entry != aNode.end(); ++entry) {
      object[entry->first.as<std::string>()] = ToJson(entry->second);
    }
    return object;
  }
  if (aNode.IsSequence()) {
    Json::Value list(Json::arrayValue);
    for (auto element = aNode.begin(); element != aNode.end(); ++element) {
      list.append(ToJson(*element));
    }
    return list;
  }
  return aNode.IsScalar() ? ScalarJson(aNode) : Json::Value();
}

} // namespace

wire::Decoded<NodeSettings>
ParseSettings(const std::string& aText)
{
  try {
    return wire::Decode<NodeSettings>(ToJson(YAML::Load(aText)));
  } catch (const YAML::Exception& exception) {
    return wire::DecodeError{ "line " + std::to_string(exception.mark.line + 1),
                              "a YAML document",
                              exception.msg };
  }
}

wire::Decoded<NodeSettings>
LoadSettings(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return wire::DecodeError{ aFile, "a readable file", "none" };
  }
  return ParseSettings(text.str());
}

} // namespace jackdawwind::node
