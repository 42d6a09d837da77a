// Strong typedef: wraps a value in a distinct type, so that ids and units cannot be confused.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace agatespar {

/// A value of type Value that is comparable only with values of the same Tag and is not implicitly converted.
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
