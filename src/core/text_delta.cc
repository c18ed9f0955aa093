#include "core/text_delta.h"

#include <zstd.h>

#include <memory>

namespace verbenastile {
namespace {

// zstd's default.
constexpr int kCompressionLevel = 3;
// For small texts, which are compressed thousands of times per second.
constexpr int kFastestLevel = 1;
// The maximum distance back to a match in the base; covers
// `kMaxDeltaTextBytes`.
constexpr int kWindowLog = 24;
// The minimum that zstd accepts.
constexpr int kMinWindowLog = 10;

struct FreeCompressor {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct FreeDecompressor {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// Returns the log2 of a window that covers `bytes`, the size of the base and
// the text together.
int WindowLogFor(std::size_t bytes) {
  int log = kMinWindowLog;
  while (log < kWindowLog && (std::size_t{1} << log) < bytes) {
    ++log;
  }
  return log;
}

}  // namespace

struct SmallTextDeltas::Contexts {
  std::unique_ptr<ZSTD_CCtx, FreeCompressor> compressor{ZSTD_createCCtx()};
  std::unique_ptr<ZSTD_DCtx, FreeDecompressor> decompressor{ZSTD_createDCtx()};
};

SmallTextDeltas::SmallTextDeltas() : contexts_(std::make_unique<Contexts>()) {}

SmallTextDeltas::~SmallTextDeltas() = default;

std::size_t SmallTextDeltas::Append(std::string_view base,
                                    std::string_view text,
                                    std::string& out) {
  ZSTD_CCtx* context = contexts_->compressor.get();
  if (context == nullptr) {
    return 0;
  }
  ZSTD_CCtx_reset(context, ZSTD_reset_session_and_parameters);
  ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, kFastestLevel);
  ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog,
                         WindowLogFor(base.size() + text.size()));
  ZSTD_CCtx_refPrefix(context, base.data(), base.size());
  const std::size_t begin = out.size();
  out.resize(begin + text.size());
  const std::size_t size = ZSTD_compress2(
      context, out.data() + begin, text.size(), text.data(), text.size());
  const bool is_smaller = ZSTD_isError(size) == 0 && size < text.size();
  out.resize(begin + (is_smaller ? size : 0));
  return is_smaller ? size : 0;
}

bool SmallTextDeltas::Apply(std::string_view base,
                            std::string_view delta,
                            std::size_t max_bytes,
                            std::string& text) {
  ZSTD_DCtx* context = contexts_->decompressor.get();
  const unsigned long long size =
      ZSTD_getFrameContentSize(delta.data(), delta.size());
  if (context == nullptr || size == ZSTD_CONTENTSIZE_UNKNOWN ||
      size == ZSTD_CONTENTSIZE_ERROR || size > max_bytes) {
    return false;
  }
  ZSTD_DCtx_reset(context, ZSTD_reset_session_only);
  ZSTD_DCtx_refPrefix(context, base.data(), base.size());
  text.resize(size);
  return ZSTD_decompressDCtx(context, text.data(), text.size(), delta.data(),
                             delta.size()) == size;
}

std::string MakeTextDelta(std::string_view base, std::string_view text) {
  const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
  if (!context) {
    return {};
  }
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         WindowLogFor(base.size() + text.size()));
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string out(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress2(context.get(), out.data(), out.size(),
                                          text.data(), text.size());
  out.resize(ZSTD_isError(size) != 0 ? 0 : size);
  out.shrink_to_fit();
  return out;
}

std::optional<std::string> ApplyTextDelta(std::string_view base,
                                          std::string_view delta) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(delta.data(), delta.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
      size > kMaxDeltaTextBytes) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
  if (!context) {
    return std::nullopt;
  }
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(size, '\0');
  const std::size_t written = ZSTD_decompressDCtx(
      context.get(), text.data(), text.size(), delta.data(), delta.size());
  if (ZSTD_isError(written) != 0 || written != size) {
    return std::nullopt;
  }
  return text;
}

}  // namespace verbenastile
