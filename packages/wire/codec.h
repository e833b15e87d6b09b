// Strict JSON codecs for schema types.
//
//   Json::Value json = Encode(probe);
//   Decoded<Probe> decoded = Decode<Probe>(json);
//   if (const DecodeError* error = std::get_if<DecodeError>(&decoded)) {
//     std::cerr << error->path << ": expected " << error->expected;
//   }
//
// Unknown fields, missing required fields, wrong types and values out of range are errors. Decoding
// reports the first error and does not throw.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include <json/value.h>

namespace jackdawwind::wire {

/// Describes the first mismatch between a value and the schema.
struct DecodeError
{
  /// Path of the field, for example "services[0].slots"; empty for the whole document.
  std::string path;
  /// Value that the schema expects.
  std::string expected;
  /// Description of the value found.
  std::string found;

  friend bool operator==(const DecodeError&, const DecodeError&) = default;
};

/// A decoded value or the first error.
template<typename T>
using Decoded = std::variant<T, DecodeError>;

/// Codec of a schema type; specialised by generated code.
template<typename T>
struct Codec;

/// Name of a message in the "type" field of a union's JSON; specialised by generated code.
template<typename T>
struct MemberName;

/// Encodes a schema value as JSON.
template<typename T>
Json::Value
Encode(const T& aValue)
{
  return Codec<T>::Encode(aValue);
}

/// Decodes a schema value from JSON; aPath prefixes the paths in errors.
template<typename T>
Decoded<T>
Decode(const Json::Value& aJson, const std::string& aPath = "")
{
  return Codec<T>::Decode(aJson, aPath);
}

/// Serialises JSON compactly, on one line.
std::string ToJsonText(const Json::Value& aJson);

/// Parses JSON text strictly: duplicate keys, comments, trailing text and deep nesting are errors.
Decoded<Json::Value> ParseJson(std::string_view aText);

/// Encodes a schema value as compact JSON text.
template<typename T>
std::string
EncodeText(const T& aValue)
{
  return ToJsonText(Encode(aValue));
}

/// Decodes a schema value from JSON text.
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
