#include "wire/yaml.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <regex>
#include <set>
#include <system_error>
#include <utility>

#include <json/value.h>
#include <yaml-cpp/yaml.h>

#include "decisions/config/control_state.h"
#include "wire/codec.h"
#include "wire/generated/configuration_codec.h"
#include "wire/generated/settings_codec.h"

namespace jackdawwind::wire {

namespace {

namespace fs = std::filesystem;

constexpr std::uintmax_t kMaxFileBytes = 4ULL * 1024 * 1024;
// Bounds the expanded document: a small file with nested aliases can expand to a huge one.
constexpr std::size_t kMaxNodes = 1000000;
constexpr std::size_t kKeyHashDigits = 64;

const char* const kTextTag = "tag:yaml.org,2002:str";

struct ParsedNumber
{
  /// Null if the text is not a number.
  Json::Value value;
  /// Expected value, if the text is a number that cannot be represented; otherwise empty.
  std::string expected;
};

ParsedNumber
ParseInteger(const std::string& aDigits, bool aNegative, int aBase)
{
  std::uint64_t magnitude = 0;
  const std::from_chars_result result =
    std::from_chars(aDigits.data(), aDigits.data() + aDigits.size(), magnitude, aBase);
  constexpr std::uint64_t kMostNegative = 1ULL << 63U;
  if (result.ec != std::errc() || (aNegative && magnitude > kMostNegative)) {
    return { {}, "a number that fits in 64 bits" };
  }
  if (!aNegative) {
    return { Json::Value(static_cast<Json::UInt64>(magnitude)), "" };
  }
  return { Json::Value(static_cast<Json::Int64>(~magnitude + 1)), "" };
}

/// Resolves a plain scalar to a number by the YAML core schema.
ParsedNumber
ParseNumber(const std::string& aText)
{
  static const std::regex decimal("([-+]?)([0-9]+)");
  static const std::regex octal("0o([0-7]+)");
  static const std::regex hexadecimal("0x([0-9a-fA-F]+)");
  static const std::regex decimalFraction("[-+]?(\\.[0-9]+|[0-9]+(\\.[0-9]*)?)([eE][-+]?[0-9]+)?");
  static const std::regex notFinite("[-+]?\\.(inf|Inf|INF)|\\.(nan|NaN|NAN)");
  constexpr int kOctal = 8;
  constexpr int kDecimal = 10;
  constexpr int kHexadecimal = 16;
  // Longer than any sensible number; bounds the recursion depth of std::regex_match.
  constexpr std::size_t kMaxNumberLength = 400;
  std::smatch match;
  if (aText.size() > kMaxNumberLength) {
    return {};
  }
  if (std::regex_match(aText, match, decimal)) {
    return ParseInteger(match[2], match[1] == "-", kDecimal);
  }
  if (std::regex_match(aText, match, octal)) {
    return ParseInteger(match[1], false, kOctal);
  }
  if (std::regex_match(aText, match, hexadecimal)) {
    return ParseInteger(match[1], false, kHexadecimal);
  }
  if (std::regex_match(aText, decimalFraction)) {
    double number = 0;
    const std::size_t start = aText.front() == '+' ? 1 : 0;
    const std::from_chars_result result =
      std::from_chars(aText.data() + start, aText.data() + aText.size(), number);
    if (result.ec == std::errc() && std::isfinite(number)) {
      return { Json::Value(number), "" };
    }
    return { {}, "a finite number" };
  }
  if (std::regex_match(aText, notFinite)) {
    return { {}, "a finite number" };
  }
  return {};
}

/// Converts a YAML document to JSON and records the line of every path for error messages.
class Converter
{
public:
  explicit Converter(std::string aFile)
    : file(std::move(aFile))
  {
  }

  Json::Value Convert(const YAML::Node& aNode, const std::string& aPath)
  {
    this->lines[aPath] = LineOf(aNode);
    if (++this->nodeCount > kMaxNodes) {
      this->Fail(aNode,
                 aPath,
                 "fewer YAML nodes, aliases expanded",
                 "more than " + std::to_string(kMaxNodes));
      return {};
    }
    switch (aNode.Type()) {
      case YAML::NodeType::Sequence:
        return this->ConvertList(aNode, aPath);
      case YAML::NodeType::Map:
        return this->ConvertMap(aNode, aPath);
      case YAML::NodeType::Scalar:
        return this->ConvertScalar(aNode, aPath);
      default:
        return {};
    }
  }

  const std::optional<YamlError>& Error() const { return this->error; }

  /// Returns a schema error with the line of its field or, if that is missing, of the nearest
  /// enclosing value.
  YamlError Locate(const DecodeError& aError) const
  {
    return YamlError({ .file = this->file,
                       .line = this->LineOfPath(aError.path),
                       .field = aError.path,
                       .expected = aError.expected,
                       .found = aError.found });
  }

  std::uint32_t LineOfPath(const std::string& aPath) const
  {
    std::string path = aPath;
    while (!this->lines.contains(path)) {
      const std::size_t separator = path.find_last_of(".[");
      path = separator == std::string::npos ? "" : path.substr(0, separator);
    }
    return this->lines.at(path);
  }

private:
  static std::uint32_t LineOf(const YAML::Node& aNode)
  {
    return aNode.Mark().is_null() ? 0 : static_cast<std::uint32_t>(aNode.Mark().line) + 1;
  }

  void Fail(const YAML::Node& aNode,
            const std::string& aPath,
            const std::string& aExpected,
            const std::string& aFound)
  {
    if (!this->error) {
      this->error = YamlError({ .file = this->file,
                                .line = LineOf(aNode),
                                .field = aPath,
                                .expected = aExpected,
                                .found = aFound });
    }
  }

  Json::Value ConvertList(const YAML::Node& aNode, const std::string& aPath)
  {
    Json::Value out(Json::arrayValue);
    std::size_t index = 0;
    for (const YAML::Node& element : aNode) {
      if (this->error) {
        break;
      }
      out.append(this->Convert(element, aPath + "[" + std::to_string(index) + "]"));
      ++index;
    }
    return out;
  }

  Json::Value ConvertMap(const YAML::Node& aNode, const std::string& aPath)
  {
    Json::Value out(Json::objectValue);
    for (YAML::const_iterator entry = aNode.begin(); entry != aNode.end() && !this->error;
         ++entry) {
      if (!entry->first.IsScalar()) {
        this->Fail(entry->first, aPath, "scalar field names", "a key that is not a scalar");
        break;
      }
      const std::string key = entry->first.Scalar();
      std::string path = aPath;
      path.append(aPath.empty() ? "" : ".").append(key);
      if (out.isMember(key)) {
        this->Fail(entry->first, path, "each field at most once", "a duplicate");
        break;
      }
      out[key] = this->Convert(entry->second, path);
      // Errors report the line of the key, where the field is found in an editor.
      this->lines[path] = LineOf(entry->first);
    }
    return out;
  }

  Json::Value ConvertScalar(const YAML::Node& aNode, const std::string& aPath)
  {
    const std::string& text = aNode.Scalar();
    const std::string& tag = aNode.Tag();
    if (tag == "!" || tag == kTextTag) {
      return text;
    }
    if (tag != "?" && !tag.empty()) {
      this->Fail(aNode, aPath, "no tag other than !!str", "another tag");
      return {};
    }
    static const std::set<std::string> nulls{ "", "~", "null", "Null", "NULL" };
    static const std::set<std::string> trues{ "true", "True", "TRUE" };
    static const std::set<std::string> falses{ "false", "False", "FALSE" };
    if (nulls.contains(text)) {
      return {};
    }
    if (trues.contains(text) || falses.contains(text)) {
      return trues.contains(text);
    }
    const ParsedNumber number = ParseNumber(text);
    if (!number.expected.empty()) {
      this->Fail(aNode, aPath, number.expected, "a number that cannot be represented");
    }
    return number.value.isNull() ? Json::Value(text) : number.value;
  }

  const std::string file;
  std::map<std::string, std::uint32_t> lines;
  std::size_t nodeCount = 0;
  std::optional<YamlError> error;
};

/// A value decoded from a file and the converter that knows the lines of its fields.
template<typename T>
struct LocatedValue
{
  T value;
  Converter lines;
};

/// A decoded file or the first error.
template<typename T>
using LocatedResult = std::variant<LocatedValue<T>, YamlError>;

YamlError
FileError(const std::string& aFile, const std::string& aExpected, const std::string& aFound)
{
  return YamlError({ .file = aFile, .expected = aExpected, .found = aFound });
}

template<typename T>
LocatedResult<T>
ParseLocated(const std::string& aText, const std::string& aFile)
{
  std::vector<YAML::Node> documents;
  Converter converter(aFile);
  Json::Value json;
  try {
    documents = YAML::LoadAll(aText);
    if (documents.size() != 1) {
      return FileError(aFile, "one YAML document", std::to_string(documents.size()) + " documents");
    }
    json = converter.Convert(documents.front(), "");
  } catch (const YAML::Exception& exception) {
    return YamlError(
      { .file = aFile,
        .line = exception.mark.is_null() ? 0 : static_cast<std::uint32_t>(exception.mark.line) + 1,
        .expected = "a YAML document",
        .found = exception.msg });
  }
  if (converter.Error()) {
    return *converter.Error();
  }
  Decoded<T> decoded = Decode<T>(json);
  if (const DecodeError* error = std::get_if<DecodeError>(&decoded)) {
    return converter.Locate(*error);
  }
  return LocatedValue<T>{ std::get<T>(std::move(decoded)), std::move(converter) };
}

template<typename T>
YamlResult<T>
DiscardLines(LocatedResult<T> aResult)
{
  if (const YamlError* error = std::get_if<YamlError>(&aResult)) {
    return *error;
  }
  return std::get<LocatedValue<T>>(std::move(aResult)).value;
}

YamlResult<std::string>
ReadFile(const std::string& aPath)
{
  std::error_code error;
  const std::uintmax_t size = fs::file_size(aPath, error);
  if (error) {
    return FileError(aPath, "a readable file", error.message());
  }
  if (size > kMaxFileBytes) {
    return FileError(aPath,
                     "at most " + std::to_string(kMaxFileBytes) + " bytes",
                     std::to_string(size) + " bytes");
  }
  std::ifstream file(aPath, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
  if (!file.good() && !file.eof()) {
    return FileError(aPath, "a readable file", "a read error");
  }
  return text;
}

/// Merges the files of a configuration folder.
class FolderMerge
{
public:
  /// Merges a file; returns the first error, if any.
  std::optional<YamlError> Add(const LocatedValue<ConfigurationFile>& aFile)
  {
    const ConfigurationFile& file = aFile.value;
    std::set<std::string> seen;
    std::optional<YamlError> error =
      this->AddList(file.Organisations(), "organisations", aFile, seen);
    error = error ? error : this->AddList(file.Services(), "services", aFile, seen);
    error = error ? error : this->AddList(file.Domains(), "domains", aFile, seen);
    error = error ? error : this->AddList(file.Keys(), "keys", aFile, seen);
    error = error ? error : this->Revoke(aFile);
    if (file.GetPolicy()) {
      this->Put(*file.GetPolicy());
    }
    return error;
  }

  std::vector<ConfigItem> Items() const
  {
    std::vector<ConfigItem> out;
    for (const std::pair<const std::string, ItemBody>& entry : this->items) {
      out.push_back(ConfigItem({ .path = entry.first, .body = entry.second }));
    }
    return out;
  }

private:
  template<typename T>
  std::optional<YamlError> AddList(const std::vector<T>& aList,
                                   const std::string& aField,
                                   const LocatedValue<ConfigurationFile>& aFile,
                                   std::set<std::string>& aSeen)
  {
    for (std::size_t index = 0; index < aList.size(); ++index) {
      if (!aSeen.insert(PathOf(aList[index])).second) {
        return aFile.lines.Locate({ aField + "[" + std::to_string(index) + "]",
                                    "each name at most once per file",
                                    "a duplicate of " + PathOf(aList[index]) });
      }
      this->Put(aList[index]);
    }
    return std::nullopt;
  }

  /// Removes revoked keys. Hashes are validated because a mistyped one would silently leave the key
  /// in force.
  std::optional<YamlError> Revoke(const LocatedValue<ConfigurationFile>& aFile)
  {
    const std::vector<std::string>& revoked = aFile.value.RevokedKeys();
    for (std::size_t index = 0; index < revoked.size(); ++index) {
      const std::string& hash = revoked[index];
      if (hash.size() != kKeyHashDigits ||
          hash.find_first_not_of("0123456789abcdef") != std::string::npos) {
        return aFile.lines.Locate({ "revoked_keys[" + std::to_string(index) + "]",
                                    "a key hash of 64 lower-case hexadecimal digits",
                                    "another string" });
      }
      this->items.erase(PathOf(KeyRecord({ .hash = hash })));
    }
    return std::nullopt;
  }

  void Put(const ItemBody& aBody) { this->items.insert_or_assign(PathOf(aBody), aBody); }

  std::map<std::string, ItemBody> items;
};

YamlResult<std::vector<std::string>>
ListFiles(const std::string& aFolder)
{
  std::vector<std::string> files;
  std::error_code error;
  for (fs::directory_iterator entry(aFolder, error), end; !error && entry != end;
       entry.increment(error)) {
    const fs::path& path = entry->path();
    const bool hidden = path.filename().string().starts_with('.');
    if (!hidden && (path.extension() == ".yaml" || path.extension() == ".yml")) {
      files.push_back(path.string());
    }
  }
  if (error) {
    return FileError(aFolder, "a readable folder", error.message());
  }
  if (files.empty()) {
    return FileError(aFolder, "at least one file *.yaml or *.yml", "none");
  }
  std::sort(files.begin(), files.end());
  return files;
}

} // namespace

std::string
Describe(const YamlError& aError)
{
  std::string out = aError.File();
  if (aError.Line() > 0) {
    out += ":" + std::to_string(aError.Line());
  }
  if (!aError.Field().empty()) {
    out += ": " + aError.Field();
  }
  return out + ": expected " + aError.Expected() + ", found " + aError.Found();
}

YamlResult<NodeSettings>
ParseNodeSettings(const std::string& aText, const std::string& aFile)
{
  return DiscardLines(ParseLocated<NodeSettings>(aText, aFile));
}

YamlResult<NodePolicy>
ParseNodePolicy(const std::string& aText, const std::string& aFile)
{
  const LocatedResult<NodePolicy> parsed = ParseLocated<NodePolicy>(aText, aFile);
  if (const YamlError* error = std::get_if<YamlError>(&parsed)) {
    return *error;
  }
  const LocatedValue<NodePolicy>& file = std::get<LocatedValue<NodePolicy>>(parsed);
  const std::vector<RegionPolicy>& regions = file.value.Regions();
  std::set<std::string> seen;
  for (std::size_t index = 0; index < regions.size(); ++index) {
    if (!seen.insert(regions[index].Region()).second) {
      return file.lines.Locate({ "regions[" + std::to_string(index) + "].region",
                                 "each region at most once",
                                 "a duplicate" });
    }
  }
  return file.value;
}

YamlResult<NodePolicy>
LoadNodePolicy(const std::string& aPath)
{
  const YamlResult<std::string> text = ReadFile(aPath);
  if (const YamlError* error = std::get_if<YamlError>(&text)) {
    return *error;
  }
  return ParseNodePolicy(std::get<std::string>(text), aPath);
}

YamlResult<ConfigurationFile>
ParseConfigurationFile(const std::string& aText, const std::string& aFile)
{
  return DiscardLines(ParseLocated<ConfigurationFile>(aText, aFile));
}

YamlResult<NodeSettings>
LoadNodeSettings(const std::string& aPath)
{
  const YamlResult<std::string> text = ReadFile(aPath);
  if (const YamlError* error = std::get_if<YamlError>(&text)) {
    return *error;
  }
  return ParseNodeSettings(std::get<std::string>(text), aPath);
}

YamlResult<std::vector<ConfigItem>>
LoadConfigurationFolder(const std::string& aPath)
{
  const YamlResult<std::vector<std::string>> files = ListFiles(aPath);
  if (const YamlError* error = std::get_if<YamlError>(&files)) {
    return *error;
  }
  FolderMerge merge;
  for (const std::string& file : std::get<std::vector<std::string>>(files)) {
    const YamlResult<std::string> text = ReadFile(file);
    if (const YamlError* error = std::get_if<YamlError>(&text)) {
      return *error;
    }
    const LocatedResult<ConfigurationFile> parsed =
      ParseLocated<ConfigurationFile>(std::get<std::string>(text), file);
    if (const YamlError* error = std::get_if<YamlError>(&parsed)) {
      return *error;
    }
    if (const std::optional<YamlError> error =
          merge.Add(std::get<LocatedValue<ConfigurationFile>>(parsed))) {
      return *error;
    }
  }
  return merge.Items();
}

} // namespace jackdawwind::wire
