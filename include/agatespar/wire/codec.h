// Encoding of typed messages as MessagePack arrays. A message lists its fields with MSGPACK_DEFINE_ARRAY.
#pragma once

#include <agatespar/support/ids.h>
#include <agatespar/support/outcome.h>
#include <agatespar/support/strong_type.h>

#include <msgpack.hpp>

#include <string>
#include <string_view>

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    template <class Tag, class Value>
    struct convert<agatespar::strong<Tag, Value>> {
        const msgpack::object& operator()(const msgpack::object& source, agatespar::strong<Tag, Value>& target) const
        {
            target = agatespar::strong<Tag, Value>{source.as<Value>()};
            return source;
        }
    };

    template <class Tag, class Value>
    struct pack<agatespar::strong<Tag, Value>> {
        template <class Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer,
                                            const agatespar::strong<Tag, Value>& source) const
        {
            return packer.pack(source.value());
        }
    };

    template <class Name>
    struct convert<agatespar::qualified<Name>> {
        const msgpack::object& operator()(const msgpack::object& source, agatespar::qualified<Name>& target) const
        {
            if (source.type != msgpack::type::ARRAY || source.via.array.size != 2) {
                throw msgpack::type_error();
            }
            target.fleet = source.via.array.ptr[0].as<agatespar::fleet_name>();
            target.name = source.via.array.ptr[1].as<Name>();
            return source;
        }
    };

    template <class Name>
    struct pack<agatespar::qualified<Name>> {
        template <class Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& packer,
                                            const agatespar::qualified<Name>& source) const
        {
            packer.pack_array(2);
            packer.pack(source.fleet);
            return packer.pack(source.name);
        }
    };

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace agatespar {

/// Maximum nesting depth of a received message.
inline constexpr std::size_t max_message_depth = 16;

/// @return the message as MessagePack bytes.
template <class Message>
std::string encode(const Message& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return std::string{buffer.data(), buffer.size()};
}

/// @param bytes untrusted input. @return the message, or malformed.
template <class Message>
outcome<Message> decode(std::string_view bytes)
{
    try {
        const auto limit = bytes.size();
        const msgpack::unpack_limit limits{limit, limit, limit, limit, limit, max_message_depth};
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limits);
        return handle.get().as<Message>();
    }
    catch (const std::exception& problem) {
        return failure(error_code::malformed, std::string{"cannot decode the message: "} + problem.what());
    }
}

} // namespace agatespar
