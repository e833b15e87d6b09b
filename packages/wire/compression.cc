#include "wire/compression.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include <zlib.h>

namespace jackdawwind::wire {

namespace {

/// Binary logarithm of the window in bytes, negative for raw deflate. 4 KB cover the dictionary or
/// about fifteen member records, and keep the state that each call sets up small.
constexpr int kWindowBits = -12;
constexpr int kMemoryLevel = 5;
constexpr std::size_t kChunkBytes = 4096;

/// Parts of typical control messages; the most frequent ones last, where references are shortest.
constexpr std::string_view kDictionary =
  "\"mesh_config_relay\",\"params\":{\"configuration\":{\"organisations\":[{\"burst\":"
  ",\"key_hashes\":[\"\"],\"name\":\"\",\"priority\":,\"rate\":}],\"routes\":[{\"host\":\""
  "\",\"kind\":\"non_idempotent\",\"max_attempts\":2,\"name\":\"\",\"objective\":1500000,\"open\":"
  "false,\"parts\":[{\"service\":\"\",\"weight\":1.0}],\"prefix\":\"/\",\"priority\":0,\"timeout\":"
  "5000000}],\"services\":[\"upload\",\"idempotent\"],\"version\":"
  "{\"jsonrpc\":\"2.0\",\"method\":\"mesh_config_offer\",\"params\":{\"sender\":{\"call_port\":"
  "{\"jsonrpc\":\"2.0\",\"method\":\"mesh_config_want\",\"params\":{\"sender\":{\"call_port\":"
  "{\"jsonrpc\":\"2.0\",\"method\":\"member_sync\",\"params\":{\"members\":[{\"address\":"
  "],\"reply\":true,\"sender\":{\"call_port\":"
  "{\"jsonrpc\":\"2.0\",\"method\":\"probe_request\",\"params\":{\"sender\":,\"sequence\":"
  ",\"subject\":{\"call_port\":"
  "{\"jsonrpc\":\"2.0\",\"method\":\"quota_grant\",\"params\":{\"allowances\":[{\"credit\":2,"
  "\"organisation\":\"\",\"tokens\":1}],\"sender\":\"\",\"sequence\":"
  "{\"jsonrpc\":\"2.0\",\"method\":\"quota_draw\",\"params\":{\"sender\":{\"call_port\":8543,"
  "\"control_port\":7000,\"host\":\"10.1.0.\",\"node\":\"\"},\"sequence\":,\"uses\":[{\"age\":0,"
  "\"organisation\":\"\",\"used\":0,\"want\":1}]}}"
  "{\"jsonrpc\":\"2.0\",\"method\":\"probe_ack\",\"params\":{\"changes\":[],\"config_offset\":"
  ",\"sequence\":0,\"subject\":\"\",\"table_hash\":"
  "{\"jsonrpc\":\"2.0\",\"method\":\"probe\",\"params\":{\"changes\":[{\"address\":{\"call_port\":"
  "8543,\"control_port\":7000,\"host\":\"10.\",\"node\":\"\"},\"domain\":\"\",\"incarnation\":,"
  "\"region\":\"\",\"service\":\"\",\"state\":\"suspect\",\"state\":\"leaving\",\"state\":\"dead\","
  "\"target_state\":\"draining\",\"state\":\"alive\",\"target_state\":\"none\",\"target_state\":"
  "\"ready\",\"version\":2}],\"config_offset\":,\"on_behalf_of\":\"\",\"sender\":{\"call_port\":"
  "8543,"
  "\"control_port\":7000,\"host\":\"10.\",\"node\":\"\"},\"sequence\":,\"table_hash\":";

/// zlib takes non-const input but does not modify it.
Bytef*
InputBytes(std::string_view aText)
{
  return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(aText.data()));
}

/// Stops on a failure that only a lack of memory or a mismatched library causes.
void
RequireOk(int aResult)
{
  if (aResult != Z_OK) {
    std::abort();
  }
}

} // namespace

std::string
Compress(std::string_view aText)
{
  z_stream stream{};
  RequireOk(::deflateInit2(
    &stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, kWindowBits, kMemoryLevel, Z_DEFAULT_STRATEGY));
  RequireOk(::deflateSetDictionary(
    &stream, InputBytes(kDictionary), static_cast<uInt>(kDictionary.size())));
  std::string out(::deflateBound(&stream, static_cast<uLong>(aText.size())), '\0');
  stream.next_in = InputBytes(aText);
  stream.avail_in = static_cast<uInt>(aText.size());
  stream.next_out = reinterpret_cast<Bytef*>(out.data());
  stream.avail_out = static_cast<uInt>(out.size());
  static_cast<void>(::deflate(&stream, Z_FINISH));
  out.resize(stream.total_out);
  static_cast<void>(::deflateEnd(&stream));
  return out;
}

std::optional<std::string>
Decompress(std::string_view aBytes, std::size_t aMaxBytes)
{
  z_stream stream{};
  RequireOk(::inflateInit2(&stream, kWindowBits));
  RequireOk(::inflateSetDictionary(
    &stream, InputBytes(kDictionary), static_cast<uInt>(kDictionary.size())));
  stream.next_in = InputBytes(aBytes);
  stream.avail_in = static_cast<uInt>(aBytes.size());
  std::string out;
  std::array<char, kChunkBytes> chunk{};
  int result = Z_OK;
  while (result == Z_OK && out.size() <= aMaxBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
    stream.avail_out = static_cast<uInt>(chunk.size());
    result = ::inflate(&stream, Z_NO_FLUSH);
    out.append(chunk.data(), chunk.size() - stream.avail_out);
  }
  const bool complete = result == Z_STREAM_END && stream.avail_in == 0;
  static_cast<void>(::inflateEnd(&stream));
  if (!complete || out.size() > aMaxBytes) {
    return std::nullopt;
  }
  return out;
}

} // namespace jackdawwind::wire
