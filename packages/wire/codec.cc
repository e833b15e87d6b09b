#include "wire/codec.h"

#include <memory>

#include <json/reader.h>
#include <json/writer.h>

#include "wire/codec_detail.h"

namespace jackdawwind::wire {

std::string
ToJsonText(const Json::Value& aJson)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, aJson);
}

Decoded<Json::Value>
ParseWith(const JsonRules& aRules, std::string_view aText)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = aRules.depth;
  builder["rejectDupKeys"] = aRules.uniqueKeys;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value json;
  std::string errors;
  try {
    if (reader->parse(aText.data(), aText.data() + aText.size(), &json, &errors)) {
      return json;
    }
  } catch (const Json::Exception& exception) {
    errors = exception.what();
  }
  return DecodeError{ "", "a JSON document", errors };
}

Decoded<Json::Value>
ParseJson(std::string_view aText)
{
  // Deeper documents than this are hostile: no schema type nests further.
  return ParseWith({ .depth = 32, .uniqueKeys = true }, aText);
}

ObjectReader::ObjectReader(const Json::Value& aJson, const std::string& aPath)
  : json(aJson)
  , path(aPath)
{
  if (!aJson.isObject()) {
    this->error = DecodeError{ aPath, "an object", Describe(aJson) };
  }
}

std::string
ObjectReader::PathOf(const char* aKey) const
{
  return this->path.empty() ? std::string(aKey) : this->path + "." + aKey;
}

void
ObjectReader::Fail(const char* aKey, const std::string& aExpected, const std::string& aFound)
{
  if (!this->error) {
    this->error = DecodeError{ this->PathOf(aKey), aExpected, aFound };
  }
}

void
ObjectReader::CheckUnknown()
{
  if (this->error) {
    return;
  }
  for (const std::string& name : this->json.getMemberNames()) {
    // "type" names the member of a union and is read by the union.
    if (name != "type" && !this->known.contains(name)) {
      this->Fail(name.c_str(), "no such field", Describe(this->json[name]));
      return;
    }
  }
}

std::string
Describe(const Json::Value& aJson)
{
  switch (aJson.type()) {
    case Json::nullValue:
      return "nothing";
    case Json::arrayValue:
      return "a list";
    case Json::objectValue:
      return "an object";
    case Json::stringValue:
      return "a text";
    default:
      return ToJsonText(aJson);
  }
}

std::string
MemberType(const Json::Value& aJson)
{
  if (!aJson.isObject() || !aJson["type"].isString()) {
    return "";
  }
  return aJson["type"].asString();
}

} // namespace jackdawwind::wire
