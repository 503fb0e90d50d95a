#pragma once

#include <cstring>
#include <optional>
#include <string>
#include <string_view>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

namespace celeryspread {

/// Serializes a message to one contiguous string. @pre none. @thread any.
inline std::string FlatBytes(capnp::MessageBuilder& aMessage)
{
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(aMessage);
  const auto bytes = words.asBytes();
  return { reinterpret_cast<const char*>(bytes.begin()), bytes.size() };
}

/// Calls aRead with the root of a serialized message and returns its result.
/// @pre none. @thread any.
/// @error empty when the bytes are malformed or need more than aMaxWords words.
template<typename Root, typename Read>
auto ReadFlat(std::string_view aBytes, uint64_t aMaxWords, Read aRead)
  -> std::optional<decltype(aRead(std::declval<typename Root::Reader>()))>
{
  const size_t count = aBytes.size() / sizeof(capnp::word);
  // The reader needs aligned words; the view may be unaligned.
  auto words = kj::heapArray<capnp::word>(count);
  if (count * sizeof(capnp::word) != aBytes.size()) {
    return std::nullopt;
  }
  std::memcpy(words.asBytes().begin(), aBytes.data(), aBytes.size());
  capnp::ReaderOptions options;
  options.traversalLimitInWords = aMaxWords;
  std::optional<decltype(aRead(std::declval<typename Root::Reader>()))> result;
  const auto exception = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words, options);
    result = aRead(reader.getRoot<Root>());
  });
  if (exception != nullptr) {
    return std::nullopt;
  }
  return result;
}

/// Returns a wire text as a string. @pre none. @thread any.
inline std::string TextOf(capnp::Text::Reader aText)
{
  return { aText.begin(), aText.size() };
}

/// Returns wire data as a string. @pre none. @thread any.
inline std::string BytesOf(capnp::Data::Reader aData)
{
  return { reinterpret_cast<const char*>(aData.begin()), aData.size() };
}

/// Returns a string as wire data; the view must not outlive it.
/// @pre none. @thread any.
inline capnp::Data::Reader DataOf(std::string_view aBytes)
{
  return { reinterpret_cast<const kj::byte*>(aBytes.data()), aBytes.size() };
}

} // namespace celeryspread
