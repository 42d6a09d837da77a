// Bounds the bytes that the requests and unread answers of all clients of one HTTP server hold together.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace agatespar {

/// Requests up to this size may use all of the bound, larger ones three quarters of it, so that small requests continue
/// while large ones compete.
inline constexpr std::size_t small_request_bytes = std::size_t{64} << 10U;

/// The bytes that are held, and their bound.
struct held_bytes {
    std::size_t limit;
    std::size_t held{0};

    /// @param further bytes to be held in addition. @param request_bytes size of the request that they belong to.
    bool has_room(std::size_t further, std::size_t request_bytes) const
    {
        const std::size_t bound = request_bytes <= small_request_bytes ? limit : limit - limit / 4;
        return held + further <= bound;
    }
};

/// What one request or answer holds; released when it is destroyed.
class byte_reservation {
public:
    explicit byte_reservation(std::shared_ptr<held_bytes> all) : all_(std::move(all)) {}
    byte_reservation(const byte_reservation&) = delete;
    byte_reservation& operator=(const byte_reservation&) = delete;
    byte_reservation(byte_reservation&& other) noexcept
        : all_(std::move(other.all_)), bytes_(std::exchange(other.bytes_, 0))
    {
    }
    byte_reservation& operator=(byte_reservation&&) = delete;
    ~byte_reservation()
    {
        if (all_) {
            set(0);
        }
    }

    std::size_t bytes() const { return bytes_; }
    /// Sets what is held, whether or not there is room.
    void set(std::size_t bytes)
    {
        all_->held = all_->held - bytes_ + bytes;
        bytes_ = bytes;
    }
    /// @return whether there was room to hold this many bytes, which are then held.
    bool grow_to(std::size_t bytes, std::size_t request_bytes)
    {
        if (bytes > bytes_ && !all_->has_room(bytes - bytes_, request_bytes)) {
            return false;
        }
        set(bytes);
        return true;
    }

private:
    std::shared_ptr<held_bytes> all_;
    std::size_t bytes_{0};
};

/// The answer to one request, as far as its caller has not read it.
struct unread_answer {
    byte_reservation held;
    /// It is sent in pieces, each of which is freed when it has been sent.
    bool in_pieces{false};
};

} // namespace agatespar
