// Tests of the message codec with valid and hostile input.
#include <agatespar/wire/codec.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace agatespar;

namespace {

struct sample {
    boot_id sender;
    server_id server;
    std::vector<std::uint32_t> counts;
    MSGPACK_DEFINE_ARRAY(sender, server, counts)
};

} // namespace

SCENARIO("a decoded message equals the encoded one")
{
    const sample sent{boot_id{7}, {fleet_name{"f"}, server_name{"s"}}, {1, 2, 3}};
    const std::string bytes = encode(sent);

    WHEN("it is complete")
    {
        const auto received = decode<sample>(bytes);
        REQUIRE(received);
        CHECK(received->sender == sent.sender);
        CHECK(received->server == sent.server);
        CHECK(received->counts == sent.counts);
    }
    WHEN("it is truncated at any byte")
    {
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            CHECK(!decode<sample>(std::string_view{bytes}.substr(0, length)));
        }
    }
    WHEN("it is another type or nested too deeply")
    {
        CHECK(!decode<sample>(std::string(1, '\x2a')));
        CHECK(!decode<sample>(std::string(100, '\x91')));
    }
}
