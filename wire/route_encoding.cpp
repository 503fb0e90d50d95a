#include "wire/route_encoding.h"

#include <algorithm>
#include <bit>
#include <memory>

#include <zstd.h>

#include <kj/debug.h>

namespace celeryspread {

namespace {

constexpr int kLevel = 3;
/// Windows reach from the end of a document to the begin of its base.
constexpr int kMinWindowLog = 18;
constexpr int kMaxWindowLog = 26;

struct ContextDelete
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};
using Encoder = std::unique_ptr<ZSTD_CCtx, ContextDelete>;
using Decoder = std::unique_ptr<ZSTD_DCtx, ContextDelete>;

int WindowLog(size_t aBytes)
{
  return std::clamp(
    static_cast<int>(std::bit_width(aBytes)), kMinWindowLog, kMaxWindowLog);
}

} // namespace

std::string EncodeRoutes(std::string_view aDocument, std::string_view aBase)
{
  const Encoder encoder(ZSTD_createCCtx());
  ZSTD_CCtx* context = encoder.get();
  KJ_REQUIRE(context != nullptr, "out of memory");
  ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context, ZSTD_c_checksumFlag, 1);
  ZSTD_CCtx_setParameter(context, ZSTD_c_enableLongDistanceMatching, 1);
  ZSTD_CCtx_setParameter(
    context, ZSTD_c_windowLog, WindowLog(aDocument.size() + aBase.size()));
  ZSTD_CCtx_refPrefix(context, aBase.data(), aBase.size());
  std::string bytes(ZSTD_compressBound(aDocument.size()), '\0');
  const size_t size = ZSTD_compress2(
    context, bytes.data(), bytes.size(), aDocument.data(), aDocument.size());
  KJ_REQUIRE(ZSTD_isError(size) == 0, ZSTD_getErrorName(size));
  bytes.resize(size);
  return bytes;
}

std::optional<std::string> DecodeRoutes(std::string_view aBytes,
                                        std::string_view aBase,
                                        uint64_t aMaxBytes)
{
  const unsigned long long size =
    ZSTD_getFrameContentSize(aBytes.data(), aBytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size > aMaxBytes) {
    return std::nullopt;
  }
  const Decoder decoder(ZSTD_createDCtx());
  ZSTD_DCtx* context = decoder.get();
  KJ_REQUIRE(context != nullptr, "out of memory");
  ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, kMaxWindowLog);
  ZSTD_DCtx_refPrefix(context, aBase.data(), aBase.size());
  std::string document(size, '\0');
  const size_t written = ZSTD_decompressDCtx(
    context, document.data(), document.size(), aBytes.data(), aBytes.size());
  if (ZSTD_isError(written) != 0 || written != size) {
    return std::nullopt;
  }
  return document;
}

} // namespace celeryspread
