#include "gateway/feeds/relay_encoding.h"

#include "base/compression.h"

namespace sapphirepass {

namespace {
    namespace http = boost::beast::http;

    constexpr const char* encodingName = "zstd";
    // In requests, the digest of a text that the follower holds; in responses, of the one that they are compressed against.
    constexpr const char* dictionaryHeader = "Dictionary-Digest";
    // Changes of single upstreams are smaller, and many.
    constexpr std::size_t minEncodedBytes = 1'024;
    // As much as a call takes that is not compressed.
    constexpr std::size_t maxDecodedBytes = 8 * 1024 * 1024;
}

auto offerEncoding(OutgoingRequest& request, const RecentTexts& held) -> std::optional<RecentTexts::Entry>
{
    request.set(http::field::accept_encoding, encodingName);
    const auto* newest = held.newest();
    if (newest == nullptr)
        return std::nullopt;
    request.set(dictionaryHeader, newest->digest_);
    return *newest;
}

auto acceptedEncoding(const OutgoingRequest& request) -> AcceptedEncoding
{
    const auto dictionary = request[dictionaryHeader];
    return { request[http::field::accept_encoding] == encodingName, std::string(dictionary.data(), dictionary.size()) };
}

auto encodeResponse(UpstreamResponse& response, const AcceptedEncoding& accepted, const RecentTexts& held) -> void
{
    if (!accepted.isCompressed_ || response.body().size() < minEncodedBytes)
        return;
    const auto dictionary = held.find(accepted.dictionary_);
    response.body() = compressText(response.body(), dictionary ? std::string_view(*dictionary) : std::string_view());
    response.set(http::field::content_encoding, encodingName);
    if (dictionary)
        response.set(dictionaryHeader, accepted.dictionary_);
}

auto decodeResponse(UpstreamResponse& response, const std::optional<RecentTexts::Entry>& offered) -> std::string
{
    if (response.count(http::field::content_encoding) == 0)
        return {};
    if (response[http::field::content_encoding] != encodingName)
        return "an unknown encoding";
    const auto dictionary = response[dictionaryHeader];
    if (!dictionary.empty() && (!offered || dictionary != offered->digest_))
        return "a dictionary that was not offered";
    auto text = decompressText(response.body(), dictionary.empty() ? std::string_view() : std::string_view(*offered->text_), maxDecodedBytes);
    if (!isOk(text))
        return errorOf(text).message_;
    response.body() = valueOf(std::move(text));
    response.erase(http::field::content_encoding);
    response.erase(dictionaryHeader);
    return {};
}

} // namespace sapphirepass
