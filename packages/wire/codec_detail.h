// Building blocks of the generated codecs; included only by generated sources and by this package.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "wire/codec.h"

namespace jackdawwind::wire {

/// Limits of the JSON parser.
struct JsonLimits
{
  /// Maximum nesting depth.
  int maxDepth = 0;
  bool rejectDuplicateKeys = true;
};

/// Parses a complete JSON text within the limits; reports errors without throwing.
Decoded<Json::Value> ParseJsonWithin(const JsonLimits& aLimits, std::string_view aText);

/// Whether a field must be present.
enum class Presence
{
  kRequired,
  kOptional,
};

constexpr double kNoMinimum = std::numeric_limits<double>::lowest();
constexpr double kNoMaximum = std::numeric_limits<double>::max();

/// Describes a JSON value for an error message; never quotes a string, which may be a secret.
std::string Describe(const Json::Value& aJson);

/// Returns the "type" field of a union's JSON; empty if it is absent or not a string.
std::string MemberType(const Json::Value& aJson);

template<typename T>
struct IsVector : std::false_type
{
};
template<typename T>
struct IsVector<std::vector<T>> : std::true_type
{
};
template<typename T>
struct IsOptional : std::false_type
{
};
template<typename T>
struct IsOptional<std::optional<T>> : std::true_type
{
};
template<typename T>
struct IsDuration : std::false_type
{
};
template<typename Rep, typename Period>
struct IsDuration<std::chrono::duration<Rep, Period>> : std::true_type
{
};

template<typename T>
Json::Value
EncodeValue(const T& aValue)
{
  if constexpr (IsVector<T>::value) {
    Json::Value out(Json::arrayValue);
    for (const typename T::value_type& element : aValue) {
      out.append(EncodeValue(element));
    }
    return out;
  } else if constexpr (IsDuration<T>::value) {
    return Json::Value(static_cast<Json::Int64>(aValue.count()));
  } else if constexpr (std::is_same_v<T, std::uint64_t>) {
    return Json::Value(static_cast<Json::UInt64>(aValue));
  } else if constexpr (std::is_same_v<T, std::int64_t>) {
    return Json::Value(static_cast<Json::Int64>(aValue));
  } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
    return Json::Value(aValue);
  } else {
    return Codec<T>::Encode(aValue);
  }
}

template<typename T>
void
EncodeOptional(Json::Value& aOut, const char* aKey, const std::optional<T>& aValue)
{
  if (aValue) {
    aOut[aKey] = EncodeValue(*aValue);
  }
}

template<typename T>
Decoded<T>
DecodeNumber(const Json::Value& aJson, const std::string& aPath)
{
  if constexpr (std::is_same_v<T, std::uint32_t>) {
    if (aJson.isUInt()) {
      return static_cast<T>(aJson.asUInt());
    }
    return DecodeError{ aPath, "an integer from 0 to 4294967295", Describe(aJson) };
  } else if constexpr (std::is_same_v<T, std::uint64_t>) {
    if (aJson.isUInt64()) {
      return static_cast<T>(aJson.asUInt64());
    }
    return DecodeError{ aPath, "a non-negative integer", Describe(aJson) };
  } else if constexpr (std::is_same_v<T, std::int64_t>) {
    if (aJson.isInt64()) {
      return static_cast<T>(aJson.asInt64());
    }
    return DecodeError{ aPath, "an integer", Describe(aJson) };
  } else {
    if (aJson.isNumeric()) {
      return static_cast<T>(aJson.asDouble());
    }
    return DecodeError{ aPath, "a number", Describe(aJson) };
  }
}

template<typename T>
Decoded<T> DecodeValue(const Json::Value& aJson, const std::string& aPath);

template<typename T>
Decoded<T>
DecodeList(const Json::Value& aJson, const std::string& aPath)
{
  if (!aJson.isArray()) {
    return DecodeError{ aPath, "a list", Describe(aJson) };
  }
  T out;
  out.reserve(aJson.size());
  for (Json::ArrayIndex index = 0; index < aJson.size(); ++index) {
    const std::string path = aPath + "[" + std::to_string(index) + "]";
    Decoded<typename T::value_type> element =
      DecodeValue<typename T::value_type>(aJson[index], path);
    if (const DecodeError* error = std::get_if<DecodeError>(&element)) {
      return *error;
    }
    out.push_back(std::get<0>(std::move(element)));
  }
  return out;
}

template<typename T>
Decoded<T>
DecodeDuration(const Json::Value& aJson, const std::string& aPath)
{
  // A century; longer times are mistakes and could overflow sums with the clock.
  constexpr std::chrono::hours kLongest{ 24 * 36525 };
  if (aJson.isInt64() && aJson.asInt64() >= 0 && T(aJson.asInt64()) <= T(kLongest)) {
    return T(aJson.asInt64());
  }
  return DecodeError{ aPath, "a time as a whole number, not negative", Describe(aJson) };
}

template<typename T>
Decoded<T>
DecodeValue(const Json::Value& aJson, const std::string& aPath)
{
  if constexpr (IsVector<T>::value) {
    return DecodeList<T>(aJson, aPath);
  } else if constexpr (IsOptional<T>::value) {
    Decoded<typename T::value_type> inner = DecodeValue<typename T::value_type>(aJson, aPath);
    if (const DecodeError* error = std::get_if<DecodeError>(&inner)) {
      return *error;
    }
    return T(std::get<0>(std::move(inner)));
  } else if constexpr (IsDuration<T>::value) {
    return DecodeDuration<T>(aJson, aPath);
  } else if constexpr (std::is_same_v<T, bool>) {
    if (aJson.isBool()) {
      return aJson.asBool();
    }
    return DecodeError{ aPath, "true or false", Describe(aJson) };
  } else if constexpr (std::is_arithmetic_v<T>) {
    return DecodeNumber<T>(aJson, aPath);
  } else if constexpr (std::is_same_v<T, std::string>) {
    if (aJson.isString()) {
      return aJson.asString();
    }
    return DecodeError{ aPath, "a string", Describe(aJson) };
  } else {
    return Codec<T>::Decode(aJson, aPath);
  }
}

template<typename T, typename Parser>
Decoded<T>
DecodeEnum(const Json::Value& aJson,
           const std::string& aPath,
           Parser aParser,
           const char* aExpected)
{
  if (aJson.isString()) {
    const std::optional<T> value = aParser(aJson.asString());
    if (value) {
      return *value;
    }
  }
  return DecodeError{ aPath, aExpected, Describe(aJson) };
}

/// Encodes a union member and adds its name as "type".
template<typename T>
Json::Value
EncodeMember(const T& aValue)
{
  Json::Value out = Codec<T>::Encode(aValue);
  out["type"] = MemberName<T>::kText;
  return out;
}

template<typename Union, typename T>
Decoded<Union>
DecodeMember(const Json::Value& aJson, const std::string& aPath)
{
  Decoded<T> member = Codec<T>::Decode(aJson, aPath);
  if (const DecodeError* error = std::get_if<DecodeError>(&member)) {
    return *error;
  }
  return Union(std::get<T>(std::move(member)));
}

/// Reads the fields of a JSON object and records the first error.
class ObjectReader
{
public:
  ObjectReader(const Json::Value& aJson, const std::string& aPath);

  /// Reads a field. An absent optional field leaves aField unchanged, so its default remains.
  template<typename T>
  void Read(const char* aKey, Presence aPresence, T& aField)
  {
    this->knownFields.insert(aKey);
    if (this->error) {
      return;
    }
    if (!this->json.isMember(aKey)) {
      if (aPresence == Presence::kRequired) {
        this->Fail(aKey, "a value for this required field", "nothing");
      }
      return;
    }
    Decoded<T> value = DecodeValue<T>(this->json[aKey], this->PathOf(aKey));
    if (const DecodeError* decodeError = std::get_if<DecodeError>(&value)) {
      this->error = *decodeError;
      return;
    }
    aField = std::get<0>(std::move(value));
  }

  /// Checks that a number or duration is within inclusive bounds.
  template<typename T>
  void CheckRange(const char* aKey, const T& aField, double aLow, double aHigh)
  {
    double number = 0;
    if constexpr (IsDuration<T>::value) {
      number = static_cast<double>(aField.count());
    } else {
      number = static_cast<double>(aField);
    }
    // Negated so that NaN fails the check.
    if (!(number >= aLow && number <= aHigh)) {
      std::ostringstream expected;
      expected << "a value";
      if (aLow != kNoMinimum) {
        expected << " from " << aLow;
      }
      if (aHigh != kNoMaximum) {
        expected << " to " << aHigh;
      }
      std::ostringstream found;
      found << number;
      this->Fail(aKey, expected.str(), found.str());
    }
  }

  /// Checks that a string is not empty.
  void CheckNotEmpty(const char* aKey, const std::string& aField)
  {
    if (aField.empty()) {
      this->Fail(aKey, "a non-empty string", "an empty string");
    }
  }

  /// Returns the value, or the first error if a check failed or the object has an unknown field.
  template<typename T>
  Decoded<T> Finish(T aValue)
  {
    this->CheckUnknown();
    if (this->error) {
      return *this->error;
    }
    return aValue;
  }

private:
  std::string PathOf(const char* aKey) const;
  void Fail(const char* aKey, const std::string& aExpected, const std::string& aFound);
  void CheckUnknown();

  const Json::Value& json;
  std::string path;
  std::set<std::string> knownFields;
  std::optional<DecodeError> error;
};

} // namespace jackdawwind::wire
