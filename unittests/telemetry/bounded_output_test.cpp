// Tests that log lines never block their writer, that their volume is bounded, and that dropped lines are counted.
#include <agatespar/telemetry/bounded_output.h>
#include <agatespar/telemetry/log_budget.h>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <ostream>
#include <string>

using namespace agatespar;
using namespace std::chrono_literals;

namespace {

struct pipe_ends {
    std::array<int, 2> ends{};

    pipe_ends()
    {
        REQUIRE(pipe(ends.data()) == 0);
        // Only the end that the test reads is non-blocking; the other end blocks, like the standard output of a
        // process.
        REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    }
    pipe_ends(const pipe_ends&) = delete;
    pipe_ends& operator=(const pipe_ends&) = delete;
    ~pipe_ends()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string read_all() const
    {
        std::string text;
        std::array<char, 65536> buffer{};
        for (ssize_t size = 0; (size = read(ends[0], buffer.data(), buffer.size())) > 0;) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }
};

} // namespace

SCENARIO("complete lines arrive at the reader")
{
    const pipe_ends pipe;
    bounded_output output{pipe.ends[1], 1024};
    std::ostream stream{&output};
    stream << "one " << 1 << '\n' << std::flush;
    stream << "two\n" << std::flush;
    CHECK(pipe.read_all() == "one 1\ntwo\n");
    CHECK(output.counters().lines_written == 2);
}

SCENARIO("the writer is not blocked if nothing reads the other end")
{
    const pipe_ends pipe;
    bounded_output output{pipe.ends[1], 100'000};
    std::ostream stream{&output};
    const std::string line(999, 'x');
    // Ten megabytes, more than the buffer of any pipe: the test hangs here if a write blocks.
    for (int i = 0; i < 10'000; ++i) {
        stream << line << '\n' << std::flush;
    }
    CHECK(output.queued() <= 100'000);
    CHECK(output.counters().lines_dropped > 9'000);
    CHECK(output.counters().lines_dropped + output.counters().lines_written == 10'000);

    WHEN("the other end is read again, only complete lines arrive")
    {
        std::string text = pipe.read_all();
        while (output.queued() > 0) {
            output.write_queued();
            text += pipe.read_all();
        }
        CHECK(text.size() == output.counters().lines_written * 1000);
        for (std::size_t i = 999; i < text.size(); i += 1000) {
            REQUIRE(text[i] == '\n');
        }
    }
}

SCENARIO("a burst of lines stays within the budget, lines about failures have priority, and dropped lines are counted")
{
    manual_clock time;
    log_budget budget{{100, 300, 0.5}};
    int ordinary = 0;
    int failures = 0;
    int attempts = 0;
    for (int i = 0; i < 100'000; ++i, attempts += 2) {
        time.advance(100us);
        ordinary += budget.take(true, time.now()) ? 1 : 0;
        failures += budget.take(false, time.now()) ? 1 : 0;
    }
    // Within ten seconds: the burst, and a hundred lines a second.
    CHECK(ordinary + failures <= 300 + 10 * 100 + 1);
    CHECK(failures >= 1000);
    CHECK(ordinary <= 150);
    CHECK(budget.take_dropped() == static_cast<std::uint64_t>(attempts - ordinary - failures));
    CHECK(budget.take_dropped() == 0);
    WHEN("the burst is over, ordinary lines are written again")
    {
        time.advance(3s);
        CHECK(budget.take(true, time.now()));
    }
}
