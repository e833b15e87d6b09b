#include "wire/codec.h"

#include <memory>

#include <json/reader.h>
#include <json/writer.h>

#include "wire/codec_detail.h"

namespace jackdawwind::wire {

namespace {

Json::StreamWriterBuilder
CompactWriterBuilder()
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return builder;
}

Json::CharReaderBuilder
StrictReaderBuilder(const JsonLimits& aLimits)
{
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["stackLimit"] = aLimits.maxDepth;
  builder["rejectDupKeys"] = aLimits.rejectDuplicateKeys;
  return builder;
}

Decoded<Json::Value>
ParseWith(const Json::CharReaderBuilder& aBuilder, std::string_view aText)
{
  const std::unique_ptr<Json::CharReader> reader(aBuilder.newCharReader());
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

} // namespace

std::string
ToJsonText(const Json::Value& aJson)
{
  // Building the settings takes longer than writing a small document.
  static const Json::StreamWriterBuilder builder = CompactWriterBuilder();
  return Json::writeString(builder, aJson);
}

Decoded<Json::Value>
ParseJsonWithin(const JsonLimits& aLimits, std::string_view aText)
{
  return ParseWith(StrictReaderBuilder(aLimits), aText);
}

Decoded<Json::Value>
ParseJson(std::string_view aText)
{
  // No schema type nests deeper than this, so deeper documents are invalid.
  static const Json::CharReaderBuilder builder =
    StrictReaderBuilder({ .maxDepth = 32, .rejectDuplicateKeys = true });
  return ParseWith(builder, aText);
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
    // "type" names the member of a union; the union's decoder has read it.
    if (name != "type" && !this->knownFields.contains(name)) {
      this->Fail(name.c_str(), "no field of this name", Describe(this->json[name]));
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
      return "a string";
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
