// Prints field values of generated types to logs, test failures and golden files.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

namespace jackdawwind::text {

/// Prints a value: durations in microseconds, strings without quotes, an absent optional as "none".
template<typename T>
void
Print(std::ostream& aOut, const T& aValue)
{
  if constexpr (std::is_same_v<T, bool>) {
    aOut << (aValue ? "true" : "false");
  } else {
    aOut << aValue;
  }
}

template<typename Rep, typename Period>
void
Print(std::ostream& aOut, const std::chrono::duration<Rep, Period>& aValue)
{
  aOut << std::chrono::duration_cast<std::chrono::microseconds>(aValue).count() << "us";
}

template<typename... Members>
void
Print(std::ostream& aOut, const std::variant<Members...>& aValue)
{
  std::visit([&aOut](const auto& aMember) { aOut << aMember; }, aValue);
}

template<typename T>
void
Print(std::ostream& aOut, const std::optional<T>& aValue)
{
  if (aValue) {
    Print(aOut, *aValue);
  } else {
    aOut << "none";
  }
}

template<typename T>
void
Print(std::ostream& aOut, const std::vector<T>& aValue)
{
  aOut << '[';
  const char* separator = "";
  for (const T& element : aValue) {
    aOut << separator;
    Print(aOut, element);
    separator = " ";
  }
  aOut << ']';
}

/// A number for a log line, or "none".
inline std::string
NumberOrNone(const std::optional<std::uint64_t>& aNumber)
{
  return aNumber ? std::to_string(*aNumber) : std::string("none");
}

} // namespace jackdawwind::text
