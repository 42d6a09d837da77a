// Tests of parsing and writing HTTP/1.1 messages, with bytes in pieces of any size and from hostile peers.
#include <agatespar/http/message_reader.h>

#include <catch2/catch.hpp>

#include <ctime>
#include <limits>
#include <random>

using namespace agatespar;

namespace {

struct read_result {
    std::optional<http_request_head> head;
    std::string body;
    outcome<void> result;
    bool done{false};
    std::string rest;
};

} // namespace

static read_result read_in_pieces(const std::string& bytes, std::size_t piece, const message_limits& limits = {})
{
    read_result read;
    request_reader reader{limits,
                          {[&read](http_request_head head) { read.head = std::move(head); },
                           [&read](std::string_view body) { read.body.append(body); }}};
    std::string input;
    for (std::size_t i = 0; i < bytes.size() && read.result; i += piece) {
        input.append(bytes, i, piece);
        read.result = reader.feed(input);
    }
    read.done = reader.is_done();
    read.rest = input;
    return read;
}

SCENARIO("the result of parsing a request does not depend on the sizes of its pieces")
{
    const std::string request = "POST /a/b%2F/../c?x=%20 HTTP/1.1\r\nHost: one.example\r\nX-Thing:  two \r\n"
                                "Content-Length: 5\r\n\r\nhelloGET / HTTP/1.1\r\n";
    const std::size_t piece = GENERATE(1U, 2U, 7U, 1000U);
    const read_result read = read_in_pieces(request, piece);
    REQUIRE(read.result);
    REQUIRE(read.done);
    CHECK(read.head->method == "POST");
    // Neither decoded nor normalised, as it is forwarded unchanged.
    CHECK(read.head->target == "/a/b%2F/../c?x=%20");
    CHECK(find_header(read.head->headers, "x-thing") == "two");
    CHECK(read.body == "hello");
    // The remaining bytes belong to the next request.
    CHECK(read.rest == "GET / HTTP/1.1\r\n");
}

// Guards against a valid request, or an answer of a server, that ends the process: the parser asserts that it has been
// given five bytes when it continues with a last chunk.
SCENARIO("an empty chunked body is read however its last chunk is divided")
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string end = GENERATE("0\r\n\r\n", "00\r\n\r\n", "0;x=1\r\n\r\n", "0\r\nX-Late: 1\r\n\r\n");
    for (std::size_t piece = 1; piece <= end.size(); ++piece) {
        CAPTURE(end, piece);
        const read_result whole_head = read_in_pieces(head + end, 1000);
        CHECK(whole_head.done);
        request_reader reader{{}, {[](const http_request_head&) {}, [](std::string_view) {}}};
        std::string input = head;
        REQUIRE(reader.feed(input));
        for (std::size_t i = 0; i < end.size(); i += piece) {
            input.append(end, i, piece);
            REQUIRE(reader.feed(input));
        }
        CHECK(reader.is_done());
        CHECK(input.empty());
    }
}

namespace {

/// All that a reader has told of some bytes and the end of their connection.
template <class Head>
struct reading {
    std::optional<Head> head;
    std::string body;
    std::optional<error_code> error;
    bool done{false};
    std::string rest;

    bool operator==(const reading& other) const
    {
        const bool same_head =
            head.has_value() == other.head.has_value() &&
            (!head || (head->headers == other.head->headers && head->keep_alive == other.head->keep_alive));
        // A body that ends with an error may have been delivered up to different bytes.
        return same_head && error == other.error && done == other.done && (error || body == other.body) &&
               (!done || rest == other.rest);
    }
};

/// Writes messages that are mostly valid, with damage of the kinds that distinguish parsers.
struct message_writer {
    std::mt19937_64 random;

    std::size_t draw(std::size_t below) { return random() % below; }
    std::string pick(std::initializer_list<const char*> choices) { return *(choices.begin() + draw(choices.size())); }

    std::string write_chunks()
    {
        std::string text;
        for (std::size_t count = draw(4); count > 0; --count) {
            text += pick({"1\r\na\r\n", "3;x=y\r\nabc\r\n", "00002\r\nde\r\n", "A\r\n0123456789\r\n", "2\r\nabc\r\n",
                          "g\r\n", "1\na\n", "ffffffffffffffff\r\n", "3;x=\"a\r\nb\"\r\nabc\r\n"});
        }
        return text +
               pick({"0\r\n\r\n", "0\r\n\r\n", "00;x\r\n\r\n", "0\r\nX: y\r\n\r\n", "0\r\nX: y\r\n z\r\nW: v\r\n\r\n",
                     "0\r\nContent-Length: 3\r\n\r\n", "0\r\n", "0\r", "0 \r\n\r\n", "0\r\nX\r\n\r\n"});
    }
    std::string write(bool request)
    {
        std::string text =
            request
                ? pick({"POST /a HTTP/1.1\r\n", "GET / HTTP/1.1\r\n", "PUT /b?c HTTP/1.0\r\n", "POST  /a HTTP/1.1\r\n",
                        "\r\nGET / HTTP/1.1\r\n", "GET / HTTP/2.0\r\n", "GET /\x01 HTTP/1.1\r\n"})
                : pick({"HTTP/1.1 200 OK\r\n", "HTTP/1.1 204 No Content\r\n", "HTTP/1.1 100 Continue\r\n",
                        "HTTP/1.0 500 \r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 200\r\n", "ICY 200 OK\r\n"});
        for (std::size_t count = draw(4); count > 0; --count) {
            text += pick({"Host: a\r\n", "X-A: b\r\n", "X-Fold: a\r\n b\r\n", "Connection: close\r\n", "X-Empty:\r\n",
                          "X-Long: 0123456789012345678901234567890123456789\r\n", "Bad Name: x\r\n", "X: \x01\r\n",
                          "NoColon\r\n", "X-Lf: a\n"});
        }
        const std::size_t framing = draw(4);
        if (framing == 0) {
            return text + "Transfer-Encoding: chunked\r\n\r\n" + write_chunks() + pick({"", "GET / HTTP/1.1\r\n"});
        }
        text += framing == 1 ? pick({"Content-Length: 5\r\n", "Content-Length: 0\r\n", "Content-Length: 5, 5\r\n",
                                     "Content-Length: 900\r\n", "Content-Length: x\r\n"})
                             : pick({"", "", "Transfer-Encoding: identity\r\n"});
        return text + "\r\n" + pick({"", "hello", "hello, and more"});
    }
    void damage(std::string& text)
    {
        for (std::size_t count = draw(3); count > 0 && !text.empty(); --count) {
            const std::size_t position = draw(text.size());
            switch (draw(3)) {
            case 0:
                text.erase(position, 1 + draw(4));
                break;
            case 1:
                text.insert(position, pick({"\r", "\n", "\r\n", " ", "\t", ":", "0"}));
                break;
            default:
                text[position] = static_cast<char>(draw(256));
                break;
            }
        }
    }
};

} // namespace

template <class Head>
static reading<Head> read_divided(const std::string& bytes, const std::function<std::size_t()>& next_size)
{
    message_limits limits;
    limits.header_bytes = 120;
    limits.body_bytes = 40;
    reading<Head> read;
    message_reader<Head> reader{limits,
                                {[&read](Head head) { read.head = std::move(head); },
                                 [&read](std::string_view body) { read.body.append(body); }}};
    std::string input;
    outcome<void> result;
    for (std::size_t i = 0; i < bytes.size() && result && !reader.is_done();) {
        const std::size_t size = std::min(next_size(), bytes.size() - i);
        input.append(bytes, i, size);
        i += size;
        result = reader.feed(input);
        if (reader.is_done()) {
            read.rest = input + bytes.substr(i);
        }
    }
    if (result && !reader.is_done()) {
        result = reader.feed_end();
    }
    read.done = reader.is_done();
    read.error = result ? std::nullopt : std::optional{result.error().code};
    return read;
}

template <class Head>
static void check_divisions(message_writer& writer, const std::string& bytes)
{
    const auto whole = read_divided<Head>(bytes, [] { return std::size_t{100000}; });
    const auto single = read_divided<Head>(bytes, [] { return std::size_t{1}; });
    const auto divided = read_divided<Head>(bytes, [&writer] { return 1 + writer.draw(9); });
    CAPTURE(bytes, whole.done, single.done, divided.done);
    CHECK(whole == single);
    CHECK(whole == divided);
}

// Guards against bytes that end the process, or that mean one thing in one packet and another in two.
SCENARIO("what a reader makes of any bytes does not depend on how they are divided")
{
    const int seed = GENERATE(range(1, 21));
    CAPTURE(seed);
    message_writer writer{std::mt19937_64{static_cast<std::uint64_t>(seed)}};
    for (int i = 0; i < 500; ++i) {
        const bool is_request = writer.draw(2) == 0;
        std::string bytes = writer.write(is_request);
        writer.damage(bytes);
        if (is_request) {
            check_divisions<http_request_head>(writer, bytes);
        }
        else {
            check_divisions<http_answer_head>(writer, bytes);
        }
    }
}

SCENARIO("chunks are joined, and trailers are dropped")
{
    const read_result read = read_in_pieces("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Late: 1\r\n\r\n",
                                            3);
    REQUIRE(read.done);
    CHECK(read.body == "abcde");
    CHECK(!find_header(read.head->headers, "X-Late"));
}

SCENARIO("ambiguous framing is refused, which prevents request smuggling")
{
    const std::string framing =
        GENERATE("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                 "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n",
                 "Content-Length: +5\r\n", "Content-Length: 5, 6\r\n", "Content-Length : 5\r\n");
    CAPTURE(framing);
    const read_result read = read_in_pieces("POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\nhello", 1000);
    REQUIRE(!read.result);
    CHECK(read.result.error().code == error_code::malformed);
}

// Guards against requests smuggled in the body of another one: the parser takes a request whose transfer encoding does
// not end in chunks for one without a body, and the body is then read as the next request.
SCENARIO("a request whose transfer encoding does not delimit its body is refused")
{
    const std::string framing = GENERATE(
        "Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n", "transfer-ENCODING:\tIdentity \r\n",
        "Transfer-Encoding: chunked, identity\r\n", "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding: chunked;q=1\r\n", "Transfer-Encoding: \"chunked\"\r\n", "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: ,\r\n",
        // The end is known, but the body could not be passed on as it is without its coding.
        "Transfer-Encoding: gzip, chunked\r\n",
        // Delimited for one reader by the length, and for another by the encoding.
        "Content-Length: 5\r\nTransfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n");
    CAPTURE(framing);
    const read_result read = read_in_pieces("POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\nhello", 1000);
    REQUIRE(!read.result);
    CHECK(read.result.error().code == error_code::malformed);
    CHECK(!read.head);
}

// Guards against a chunked body that an HTTP/1.0 recipient does not recognise and reads as the next message.
SCENARIO("a message of HTTP/1.0 with a transfer encoding is refused")
{
    const read_result read =
        read_in_pieces("POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 1000);
    REQUIRE(!read.result);
    CHECK(read.result.error().code == error_code::malformed);
}

SCENARIO("one chunked transfer encoding delimits a body in any case and with any blanks")
{
    const std::string framing = GENERATE("Transfer-Encoding: chunked\r\n", "TRANSFER-ENCODING: \t CHUNKED \t\r\n",
                                         "Transfer-Encoding:\r\n chunked\r\n");
    CAPTURE(framing);
    const read_result read =
        read_in_pieces("POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n5\r\nhello\r\n0\r\n\r\n", 1000);
    REQUIRE(read.result);
    CHECK(read.done);
    CHECK(read.body == "hello");
}

// Guards against answers of which one reader sees more or less than another, or whose body is passed on without the
// coding that it needs.
SCENARIO("an answer whose transfer encoding contradicts its length, or cannot be decoded, is malformed")
{
    const auto read_answer_head = [](const std::string& framing) {
        std::optional<http_answer_head> head;
        answer_reader reader{{}, {[&head](http_answer_head read) { head = std::move(read); }, [](std::string_view) {}}};
        std::string input = "HTTP/1.1 200 OK\r\n" + framing + "\r\nhello";
        const outcome<void> result = reader.feed(input);
        CHECK(result.has_value() == head.has_value());
        return head;
    };
    CHECK(!read_answer_head("Transfer-Encoding: gzip\r\n"));
    CHECK(!read_answer_head("Transfer-Encoding: gzip, chunked\r\n"));
    CHECK(!read_answer_head("Transfer-Encoding: identity\r\nContent-Length: 5\r\n"));
    CHECK(!read_answer_head("Content-Length: 5\r\nTransfer-Encoding: gzip\r\n"));
    CHECK(!read_answer_head("Transfer-Encoding: chunked, identity\r\n"));
    WHEN("it names the encoding that changes nothing")
    {
        const auto head = read_answer_head("Transfer-Encoding: identity\r\n");
        REQUIRE(head);
        CHECK(head->close_delimited);
    }
}

// Guards against a server's status that is passed on although no client can read it: 000 became the number 0.
SCENARIO("an answer with a status outside the range of HTTP is malformed")
{
    const auto read_status = [](const std::string& status) {
        std::optional<int> read;
        answer_reader reader{{},
                             {[&read](const http_answer_head& head) { read = head.status; }, [](std::string_view) {}}};
        std::string input = "HTTP/1.1 " + status + " Word\r\nContent-Length: 0\r\n\r\n";
        const outcome<void> result = reader.feed(input);
        CHECK(result.has_value() == read.has_value());
        return read;
    };
    CHECK(read_status("100") == 100);
    CHECK(read_status("200") == 200);
    CHECK(read_status("599") == 599);
    for (const std::string status : {"000", "001", "099", "600", "999", "20", "2000", "-20", "+20", "2x0"}) {
        CAPTURE(status);
        CHECK(!read_status(status));
    }
}

SCENARIO("an exceeded limit is distinguished from malformed input")
{
    message_limits limits;
    limits.header_bytes = 200;
    limits.body_bytes = 4;
    WHEN("the head is too long")
    {
        const auto read =
            read_in_pieces("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(300, 'x') + "\r\n\r\n", 64, limits);
        REQUIRE(!read.result);
        CHECK(read.result.error().code == error_code::too_large);
        CHECK(read.result.error().message == "header");
    }
    WHEN("the body is too long")
    {
        const auto read = read_in_pieces("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello", 64, limits);
        REQUIRE(!read.result);
        CHECK(read.result.error().message == "body");
    }
    WHEN("a chunked body becomes too long")
    {
        const auto read = read_in_pieces(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n", 64, limits);
        REQUIRE(!read.result);
        CHECK(read.result.error().message == "body");
    }
    WHEN("it is not HTTP")
    {
        const auto read = read_in_pieces("\x16\x03\x01\x02 what\r\n\r\n", 64, limits);
        REQUIRE(!read.result);
        CHECK(read.result.error().code == error_code::malformed);
    }
}

SCENARIO("an answer without a length is complete only when its connection is closed in an orderly way")
{
    std::string body;
    std::optional<http_answer_head> head;
    answer_reader reader{{},
                         {[&head](http_answer_head read) { head = std::move(read); },
                          [&body](std::string_view bytes) { body.append(bytes); }}};
    std::string input = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\npart";
    REQUIRE(reader.feed(input));
    REQUIRE(head);
    CHECK(head->close_delimited);
    CHECK(!reader.is_done());
    REQUIRE(reader.feed_end());
    CHECK(body == "part");

    WHEN("one with a length ends early")
    {
        answer_reader truncated_reader{{}, {[](const http_answer_head&) {}, [](std::string_view) {}}};
        std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart";
        REQUIRE(truncated_reader.feed(bytes));
        CHECK(!truncated_reader.feed_end());
    }
}

SCENARIO("fields that apply to a single connection are not forwarded")
{
    const http_headers headers{{"Connection", "close, X-Private"}, {"X-Private", "1"}, {"X-Public", "2"},
                               {"connection", "x-other"},          {"X-Other", "3"},   {"TE", "trailers"}};
    const hop_by_hop_fields fields{headers};
    CHECK(fields.contains("connection"));
    CHECK(fields.contains("Transfer-Encoding"));
    CHECK(fields.contains("Content-Length"));
    CHECK(fields.contains("x-private"));
    CHECK(fields.contains("X-OTHER"));
    CHECK(!fields.contains("X-Public"));
    CHECK(end_to_end_fields(headers) == http_headers{{"X-Public", "2"}});
}

/// @return the processor time in seconds that it takes to select the forwarded ones of many fields, the least of five.
static double selection_time(std::size_t count)
{
    http_headers headers{{"Connection", "close"}};
    for (std::size_t i = 0; i < count; ++i) {
        headers.push_back({"connection", "x" + std::to_string(i)});
        headers.push_back({"y" + std::to_string(i), ""});
    }
    double least = std::numeric_limits<double>::max();
    for (int i = 0; i < 5; ++i) {
        const std::clock_t begin = std::clock();
        CHECK(end_to_end_fields(headers).size() == count);
        least = std::min(least, static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC);
    }
    return least;
}

// Guards against a head of many short fields that blocks the event loop.
SCENARIO("the time to select the fields of a message that are forwarded grows little more than with their number")
{
    // Linear work takes eight times as long, quadratic work 64 times.
    CHECK(selection_time(8000) <= 24 * selection_time(1000));
}

SCENARIO("written heads frame their bodies")
{
    http_request_head request{"GET", "/x", {{"Host", "a"}}, true};
    CHECK(write_request_head(request, 0) == "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
    request.method = "POST";
    CHECK(write_request_head(request, 0) == "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    http_answer_head answer;
    answer.status = 200;
    answer.reason = "OK";
    CHECK(write_answer_head(answer, body_framing::chunks, 0, false) ==
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
    CHECK(write_chunk("abc") == "3\r\nabc\r\n");
}

SCENARIO("only text that is completely a number is parsed as one")
{
    CHECK(parse_number("42") == 42U);
    CHECK(!parse_number("42x"));
    CHECK(!parse_number("-1"));
    CHECK(!parse_number(""));
    CHECK(!parse_number("99999999999999999999999"));
}
