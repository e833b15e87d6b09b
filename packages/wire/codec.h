// Strict JSON codecs of schema types.
//
//   Json::Value json = Encode(probe);
//   Decoded<Probe> decoded = Decode<Probe>(json);
//   if (const DecodeError* error = std::get_if<DecodeError>(&decoded)) {
//     std::cerr << error->path << ": expected " << error->expected;
//   }
//
// Unknown fields, missing fields, wrong types and values out of range are errors. Nothing throws.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <json/value.h>

namespace jackdawwind::wire {

/// Why a value does not match the schema.
struct DecodeError
{
  /// Path of the field, for example "services[0].slots".
  std::string path;
  /// What the schema expects there.
  std::string expected;
  /// What stands there.
  std::string found;

  friend bool operator==(const DecodeError&, const DecodeError&) = default;
};

/// A value or the first error.
template<typename T>
using Decoded = std::variant<T, DecodeError>;

/// Codec of one schema type; specialised by generated code.
template<typename T>
struct Codec;

/// Name of a message in its JSON "type" member; specialised by generated code.
template<typename T>
struct MemberName;

/// JSON of a schema value.
template<typename T>
Json::Value
Encode(const T& aValue)
{
  return Codec<T>::Encode(aValue);
}

/// Value of a JSON document; aPath is put before the paths of errors.
template<typename T>
Decoded<T>
Decode(const Json::Value& aJson, const std::string& aPath = "")
{
  return Codec<T>::Decode(aJson, aPath);
}

/// Compact text of a JSON document, without a line break.
std::string ToJsonText(const Json::Value& aJson);

/// Parses text strictly: duplicate keys, comments and trailing text are errors.
Decoded<Json::Value> ParseJson(std::string_view aText);

/// Compact JSON text of a schema value.
template<typename T>
std::string
EncodeText(const T& aValue)
{
  return ToJsonText(Encode(aValue));
}

/// Value of a JSON text.
template<typename T>
Decoded<T>
DecodeText(std::string_view aText)
{
  const Decoded<Json::Value> json = ParseJson(aText);
  if (const DecodeError* error = std::get_if<DecodeError>(&json)) {
    return *error;
  }
  return Decode<T>(std::get<Json::Value>(json));
}

} // namespace jackdawwind::wire
