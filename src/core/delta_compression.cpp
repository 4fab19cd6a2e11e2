#include "core/delta_compression.h"

#include <memory>
#include <zstd.h>

namespace carawaypoint
{

namespace
{

/// A window of 4 MiB covers a text and its base of up to 2 MiB each.
constexpr int WindowLog = 22;
constexpr int CompressionLevel = 3;

struct FreeContext {
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

}

std::optional<std::vector<std::byte>> compressDelta(std::string_view text, std::string_view base)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    // The checksum detects a base that differs from the sender's.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, WindowLog);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::vector<std::byte> bytes(ZSTD_compressBound(text.size()));
    const auto size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0) {
        return std::nullopt;
    }
    bytes.resize(size);
    return bytes;
}

std::optional<std::string> expandDelta(std::span<const std::byte> bytes, std::string_view base, std::size_t maxBytes)
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes) {
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(size, '\0');
    const auto written = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), bytes.data(), bytes.size());
    return ZSTD_isError(written) != 0 || written != size ? std::nullopt : std::optional(std::move(text));
}

}
