// A wrapper that gives a plain value a type of its own, so that ids and units cannot be mixed up.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace agatespar {

/// A value of type Value that only compares and converts as its own type Tag says.
template <class Tag, class Value>
class strong {
public:
    using value_type = Value;

    constexpr strong() = default;
    constexpr explicit strong(Value value) : value_(std::move(value)) {}

    /// @return the wrapped value.
    constexpr const Value& value() const& { return value_; }
    constexpr Value&& value() && { return std::move(value_); }

    friend constexpr auto operator<=>(const strong&, const strong&) = default;
    friend constexpr bool operator==(const strong&, const strong&) = default;

private:
    Value value_{};
};

} // namespace agatespar

template <class Tag, class Value>
struct std::hash<agatespar::strong<Tag, Value>> {
    std::size_t operator()(const agatespar::strong<Tag, Value>& id) const { return std::hash<Value>{}(id.value()); }
};
