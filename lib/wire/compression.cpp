// Compression of complete buffers with the zlib converters of GIO.
#include <agatespar/wire/compression.h>

#include <gio/gio.h>

#include <array>
#include <cassert>
#include <memory>

namespace agatespar {

// The fastest setting of zlib; it already finds the field names that repeat in each record.
static constexpr int compression_level = 1;
static constexpr std::size_t step_bytes = std::size_t{16} << 10U;

namespace {

struct unref_object {
    void operator()(GConverter* converter) const { g_object_unref(converter); }
};

using converter_handle = std::unique_ptr<GConverter, unref_object>;

} // namespace

/// Converts the complete input. @return nothing if the input is malformed or the output exceeds `max_bytes`.
static std::optional<std::string> convert(GConverter* converter, std::string_view input, std::size_t max_bytes)
{
    std::string output;
    std::array<char, step_bytes> step{};
    while (true) {
        gsize read = 0;
        gsize written = 0;
        GError* problem = nullptr;
        const GConverterResult result =
            g_converter_convert(converter, input.data(), input.size(), step.data(), step.size(),
                                G_CONVERTER_INPUT_AT_END, &read, &written, &problem);
        if (result == G_CONVERTER_ERROR) {
            g_clear_error(&problem);
            return std::nullopt;
        }
        input.remove_prefix(read);
        output.append(step.data(), written);
        if (output.size() > max_bytes) {
            return std::nullopt;
        }
        if (result == G_CONVERTER_FINISHED) {
            return output;
        }
    }
}

std::string compress(std::string_view bytes)
{
    const converter_handle converter{
        G_CONVERTER(g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB, compression_level))};
    auto compressed = convert(converter.get(), bytes, std::string::npos);
    assert(compressed && "compression accepts any bytes");
    return std::move(*compressed);
}

outcome<std::string> decompress(std::string_view bytes, std::size_t max_bytes)
{
    const converter_handle converter{G_CONVERTER(g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_ZLIB))};
    auto decompressed = convert(converter.get(), bytes, max_bytes);
    if (!decompressed) {
        return failure(error_code::malformed, "the data is not valid zlib data, or decompresses to too much");
    }
    return std::move(*decompressed);
}

} // namespace agatespar
