#include "base/compression.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <new>
#include <zstd.h>

namespace sapphirepass {

namespace {
    // zstd's own default: a megabyte of JSON takes a few milliseconds of a whole core.
    constexpr int level = ZSTD_CLEVEL_DEFAULT;
    constexpr int minWindowBits = 10;
    constexpr int maxWindowBits = 24;

    struct FreeContext {
        auto operator()(ZSTD_CCtx* context) const -> void { ZSTD_freeCCtx(context); }
        auto operator()(ZSTD_DCtx* context) const -> void { ZSTD_freeDCtx(context); }
    };

    // The window spans dictionary and text, so that the end of the text can still refer to the start of the dictionary.
    auto windowBitsFor(std::size_t bytes) -> int { return std::clamp(static_cast<int>(std::bit_width(bytes)), minWindowBits, maxWindowBits); }

    auto failure(std::size_t code) -> CompressionError { return { ZSTD_getErrorName(code) }; }
}

auto compressText(std::string_view text, std::string_view dictionary) -> std::string
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    if (!context)
        throw std::bad_alloc();
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level);
    // Tells a text that was compressed against another dictionary.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!dictionary.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowBitsFor(dictionary.size() + text.size()));
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), dictionary.data(), dictionary.size());
    }
    std::string bytes(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), text.data(), text.size());
    // With room for the longest result, only memory can be lacking.
    if (ZSTD_isError(size) != 0)
        throw std::bad_alloc();
    bytes.resize(size);
    bytes.shrink_to_fit();
    return bytes;
}

auto decompressText(std::string_view bytes, std::string_view dictionary, std::size_t maxBytes) -> Result<std::string, CompressionError>
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN)
        return CompressionError { "no compressed text" };
    if (size > maxBytes)
        return CompressionError { "the compressed text is too long" };
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    if (!context)
        throw std::bad_alloc();
    if (!dictionary.empty())
        ZSTD_DCtx_refPrefix(context.get(), dictionary.data(), dictionary.size());
    std::string text(static_cast<std::size_t>(size), '\0');
    const auto written = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0)
        return failure(written);
    if (written != text.size())
        return CompressionError { "the compressed text ends early" };
    return text;
}

} // namespace sapphirepass
