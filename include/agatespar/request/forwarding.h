// Forwards chat requests to VMs of other zones, and runs requests forwarded from there.
#pragma once

#include <agatespar/kernel/event_loop.h>
#include <agatespar/platform/http_client.h>
#include <agatespar/request/messages.h>
#include <agatespar/request/request.h>
#include <agatespar/wire/frame.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace agatespar {

/// Dependencies of forwarding. All must outlive it.
struct forwarding_dependencies {
    event_loop* loop{nullptr};
    std::function<std::uint64_t()> next_id;
    /// @return whether the message was queued for sending.
    std::function<bool(const std::string& address, message_kind, std::string payload)> send;
    /// @return the address of a running VM of a zone, or nothing.
    std::function<std::optional<std::string>(const zone_id&)> pick_vm;
    /// Runs a request that a VM of another zone forwarded.
    std::function<cancel_handle(chat_request, answer_sink)> run;
};

/// Implements both sides of the forwarding of chat requests.
class forwarding {
public:
    explicit forwarding(forwarding_dependencies dependencies) : dependencies_(std::move(dependencies)) {}

    /// Sends a request to a VM of a zone. The sink receives the answer, or unavailable if no VM of the zone can be
    /// reached, a part of the answer is lost, or the VM stops sending.
    /// @return a function that cancels the request at the other VM. The sink is not called afterwards.
    cancel_handle send(const zone_id& zone, const chat_request& request, duration remaining, answer_sink sink);
    /// Handles a frame of kind forward_request, forward_chunk, forward_end or forward_cancel.
    void take(const frame& received);

    std::size_t outgoing() const { return outgoing_.size(); }
    std::size_t incoming() const { return incoming_.size(); }

private:
    struct outgoing_forward {
        std::string address;
        answer_sink sink;
        std::uint32_t next_sequence{0};
        timer_id idle_timer;
    };
    /// Identifies a forwarded request. The numbers of different senders may be equal.
    struct incoming_key {
        boot_id sender;
        std::uint64_t forward;
        friend bool operator==(const incoming_key&, const incoming_key&) = default;
    };
    struct incoming_key_hash {
        std::size_t operator()(const incoming_key& key) const { return key.sender.value() ^ key.forward; }
    };

    void handle_request(const frame& received);
    void handle_chunk(const forward_chunk_message& chunk);
    void handle_end(const forward_end_message& end);
    void handle_cancel(const frame& received);
    answer_sink make_reply_sink(const incoming_key& key, const std::string& address);
    void restart_idle_timer(std::uint64_t id, outgoing_forward& forward);
    void fail(std::uint64_t id, const error& problem);
    /// @return the forward if the sequence number is the next one, else null. A gap fails the forward.
    outgoing_forward* accept(std::uint64_t id, std::uint32_t sequence);

    forwarding_dependencies dependencies_;
    std::unordered_map<std::uint64_t, outgoing_forward> outgoing_;
    std::unordered_map<incoming_key, cancel_handle, incoming_key_hash> incoming_;
};

} // namespace agatespar
