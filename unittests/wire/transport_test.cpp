// Tests of sealed frames and of the transport over loopback.
#include <agatespar/kernel/glib_event_loop.h>
#include <agatespar/wire/frame.h>
#include <agatespar/wire/transport.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace agatespar;
using namespace std::chrono_literals;

static frame sample_frame(std::uint64_t sequence)
{
    return {boot_id{9}, "127.0.0.1:1", sequence, manual_clock{}.wall_now(), message_kind::probe, "payload"};
}

static vm_key key_of(const char* passphrase)
{
    return *derive_vm_key(passphrase);
}

SCENARIO("only holders of the VM key can create frames")
{
    const vm_key key = key_of("a passphrase of VMs");
    const std::string sealed = seal_frame(sample_frame(1), key);

    WHEN("a peer with the key opens it")
    {
        const auto opened = open_frame(sealed, key);
        REQUIRE(opened);
        CHECK(opened->sender == boot_id{9});
        CHECK(opened->payload == "payload");
    }
    WHEN("another key opens it")
    {
        CHECK(open_frame(sealed, key_of("another passphrase!")).error().code == error_code::unauthenticated);
    }
    WHEN("any byte is changed or missing")
    {
        for (std::size_t i = 0; i < sealed.size(); ++i) {
            std::string changed = sealed;
            changed[i] = static_cast<char>(changed[i] ^ 1);
            CHECK(!open_frame(changed, key));
            CHECK(!open_frame(std::string_view{sealed}.substr(0, i), key));
        }
    }
    WHEN("the passphrase is short")
    {
        CHECK(!derive_vm_key("short"));
    }
}

SCENARIO("repeated, reordered and outdated frames are refused")
{
    replay_guard guard;
    const wall_time now = manual_clock{}.wall_now();
    CHECK(guard.accept(sample_frame(5), now));
    CHECK(!guard.accept(sample_frame(5), now));
    CHECK(!guard.accept(sample_frame(4), now));
    CHECK(guard.accept(sample_frame(6), now));
    CHECK(!guard.accept(sample_frame(7), now + frame_time_tolerance + 1s));
    CHECK(!guard.accept(sample_frame(7), now - frame_time_tolerance - 1s));
}

SCENARIO("two processes exchange frames")
{
    glib_event_loop loop;
    const vm_key key = key_of("a passphrase of VMs");
    auto first = transport::open(loop, {"127.0.0.1:0", key, boot_id{1}});
    auto second = transport::open(loop, {"127.0.0.1:0", key, boot_id{2}});
    auto foreign = transport::open(loop, {"127.0.0.1:0", key_of("a stranger's passphrase"), boot_id{3}});
    REQUIRE(first);
    REQUIRE(second);
    REQUIRE(foreign);

    GIVEN("a receiver that answers, and a sender without the key")
    {
        std::vector<std::string> received;
        (*second)->set_handler(
            [&](const frame& got) { (*second)->send(got.reply_address, message_kind::probe_ack, got.payload + "!"); });
        (*first)->set_handler([&](const frame& got) {
            received.push_back(got.payload);
            if (received.size() == 2) {
                loop.quit();
            }
        });
        (*foreign)->send((*second)->address(), message_kind::probe, "garbage");
        (*first)->send((*second)->address(), message_kind::probe, "one");
        (*first)->send((*second)->address(), message_kind::probe, "two");
        loop.run();
        THEN("frames are answered in order, and the frame without the key has no effect")
        {
            CHECK(received == std::vector<std::string>{"one!", "two!"});
            CHECK((*second)->counters().frames_received == 2);
            CHECK((*second)->counters_of(message_kind::probe_ack).frames_sent == 2);
        }
    }
    // Guards against a frame that makes its receiver close the connection, with all frames that are queued on it.
    GIVEN("a message that is too large for a frame")
    {
        std::vector<std::size_t> received;
        (*second)->set_handler([&](const frame& content) {
            received.push_back(content.payload.size());
            loop.quit();
        });
        const std::string largest(max_frame_bytes - 1024, 'x');
        THEN("it is not sent, and the frames before and after it arrive")
        {
            CHECK((*first)->send((*second)->address(), message_kind::probe, largest));
            CHECK(!(*first)->send((*second)->address(), message_kind::probe, std::string(max_frame_bytes, 'x')));
            CHECK((*first)->counters().frames_dropped == 1);
            loop.run();
            CHECK((*first)->send((*second)->address(), message_kind::probe, "after"));
            loop.run();
            CHECK(received == std::vector<std::size_t>{largest.size(), 5});
        }
    }
    GIVEN("an address at which no process listens")
    {
        THEN("frames are queued up to a limit and then dropped")
        {
            for (int i = 0; i < 1000; ++i) {
                (*first)->send("127.0.0.1:1", message_kind::probe, "lost");
            }
            CHECK((*first)->counters().frames_dropped > 0);
        }
    }
}
