// Reads and writes plain structs as JSON, using one list of their fields, so that both directions always match.
//
// A struct is supported if there is a function `template <class Archive> void fields(Archive&, T&)` that lists its
// fields.
#pragma once

#include <agatespar/support/outcome.h>
#include <agatespar/support/strong_type.h>
#include <agatespar/support/units.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace agatespar {

/// Inclusive bounds on a number.
struct number_bounds {
    double low{0.0};
    double high{1e15};
};

/// The maximum length of a text in bytes, and whether it must be a valid name.
struct text_bounds {
    std::size_t bytes{256};
    bool name{false};
};

/// The first violation of the schema.
struct schema_problem {
    /// The JSON pointer of the offending value.
    std::string path;
    std::string reason;
    bool found{false};

    /// Stores a problem, unless an earlier one is stored already.
    void report(const std::string& where, std::string why);
};

template <class T>
concept strong_value = requires
{
    typename T::value_type;
    requires std::same_as<T, std::remove_cvref_t<T>>;
    {
        std::declval<const T&>().value()
        } -> std::convertible_to<const typename T::value_type&>;
    requires !requires
    {
        std::declval<T>().begin();
    }
    &&!requires
    {
        std::declval<T>().has_value();
    };
};

template <class T>
struct is_optional : std::false_type {
};
template <class T>
struct is_optional<std::optional<T>> : std::true_type {
};
template <class T>
struct is_map : std::false_type {
};
template <class Key, class Value>
struct is_map<std::map<Key, Value>> : std::true_type {
};
template <class T>
struct is_set : std::false_type {
};
template <class T>
struct is_set<std::set<T>> : std::true_type {
};
template <class T>
struct is_vector : std::false_type {
};
template <class T>
struct is_vector<std::vector<T>> : std::true_type {
};
template <class T>
struct is_milliseconds : std::is_same<T, std::chrono::milliseconds> {
};

/// @return whether a text is a valid name: not empty, at most max_name_bytes long, and without spaces, control
/// characters, quotes, backslashes and the separators of qualified names.
bool is_name(std::string_view text);

/// Read a scalar value. Each returns false and stores the reason in `problem` if the value does not match the schema.
bool read_text(const nlohmann::json& value, std::string& target, const text_bounds& bounds, const std::string& path,
               schema_problem& problem);
bool read_flag(const nlohmann::json& value, bool& target, const std::string& path, schema_problem& problem);
bool read_number(const nlohmann::json& value, double& target, const number_bounds& bounds, const std::string& path,
                 schema_problem& problem);
bool read_integer(const nlohmann::json& value, std::uint64_t& target, const number_bounds& bounds,
                  const std::string& path, schema_problem& problem);

/// Reads the members of one JSON object.
class json_reader {
public:
    static constexpr bool reading = true;

    json_reader(const nlohmann::json& object, std::string path, schema_problem& problem);

    /// Reads a mandatory member.
    template <class T>
    void required(const char* name, T& target, const number_bounds& bounds = {})
    {
        const nlohmann::json* member = find(name);
        if (member == nullptr) {
            problem_.report(member_path(name), "is missing");
            return;
        }
        read_value(*member, target, bounds, member_path(name), problem_);
    }

    /// Reads a member that may be absent, in which case the target is not changed.
    template <class T>
    void optional(const char* name, T& target, const number_bounds& bounds = {})
    {
        const nlohmann::json* member = find(name);
        if (member != nullptr) {
            read_value(*member, target, bounds, member_path(name), problem_);
        }
    }

    /// Allows a member that is read by other code.
    void known(const char* name) { known_names_.insert(name); }

    /// Reports a problem if the object has a member that was neither read nor allowed.
    void finish();

    template <class T>
    static void read_value(const nlohmann::json& value, T& target, const number_bounds& bounds, const std::string& path,
                           schema_problem& problem);

private:
    const nlohmann::json* find(const char* name);
    std::string member_path(const char* name) const { return path_ + "/" + name; }

    template <class Map>
    static void read_map(const nlohmann::json& value, Map& target, const number_bounds& bounds, const std::string& path,
                         schema_problem& problem);
    template <class T>
    static void read_list(const nlohmann::json& value, T& target, const number_bounds& bounds, const std::string& path,
                          schema_problem& problem);
    template <class T>
    static void read_enum(const nlohmann::json& value, T& target, const std::string& path, schema_problem& problem);

    const nlohmann::json& object_;
    std::string path_;
    schema_problem& problem_;
    std::set<std::string> known_names_;
};

/// Writes fields as the members of a JSON object. Empty optional values are omitted.
class json_writer {
public:
    static constexpr bool reading = false;

    template <class T>
    void required(const char* name, T& source, const number_bounds& = {})
    {
        object_[name] = write_value(source);
    }

    template <class T>
    void optional(const char* name, T& source, const number_bounds& = {})
    {
        if constexpr (is_optional<T>::value) {
            if (!source) {
                return;
            }
        }
        object_[name] = write_value(source);
    }

    template <class T>
    static nlohmann::json write_value(const T& source);

    nlohmann::json take() { return std::move(object_); }

private:
    nlohmann::json object_ = nlohmann::json::object();
};

template <class T>
void json_reader::read_enum(const nlohmann::json& value, T& target, const std::string& path, schema_problem& problem)
{
    std::string text;
    if (!read_text(value, text, {}, path, problem)) {
        return;
    }
    std::string known;
    for (const auto& [name, option] : enum_names(T{})) {
        if (text == name) {
            target = option;
            return;
        }
        known += (known.empty() ? "" : ", ") + std::string{name};
    }
    problem.report(path, "must be one of " + known);
}

template <class Map>
void json_reader::read_map(const nlohmann::json& value, Map& target, const number_bounds& bounds,
                           const std::string& path, schema_problem& problem)
{
    if (!value.is_object()) {
        problem.report(path, "must be an object");
        return;
    }
    target.clear();
    for (const auto& [name, member] : value.items()) {
        if (!is_name(name)) {
            problem.report(path, "\"" + name + "\" is not a name");
            return;
        }
        read_value(member, target[typename Map::key_type{name}], bounds, path + "/" + name, problem);
    }
}

template <class T>
void json_reader::read_list(const nlohmann::json& value, T& target, const number_bounds& bounds,
                            const std::string& path, schema_problem& problem)
{
    if (!value.is_array()) {
        problem.report(path, "must be an array");
        return;
    }
    target.clear();
    for (std::size_t i = 0; i < value.size(); ++i) {
        typename T::value_type item{};
        const std::string item_path = path + "/" + std::to_string(i);
        read_value(value[i], item, bounds, item_path, problem);
        if constexpr (is_set<T>::value) {
            if (!target.insert(std::move(item)).second) {
                problem.report(item_path, "is a duplicate");
            }
        }
        else {
            target.push_back(std::move(item));
        }
    }
}

template <class T>
void json_reader::read_value(const nlohmann::json& value, T& target, const number_bounds& bounds,
                             const std::string& path, schema_problem& problem)
{
    if constexpr (is_optional<T>::value) {
        read_value(value, target.emplace(), bounds, path, problem);
    }
    else if constexpr (is_milliseconds<T>::value) {
        std::uint64_t count = 0;
        read_integer(value, count, bounds, path, problem);
        target = T{count};
    }
    else if constexpr (std::is_same_v<T, bool>) {
        read_flag(value, target, path, problem);
    }
    else if constexpr (std::is_enum_v<T>) {
        read_enum(value, target, path, problem);
    }
    else if constexpr (std::is_integral_v<T>) {
        std::uint64_t number = 0;
        const double high = std::min(bounds.high, static_cast<double>(std::numeric_limits<T>::max()));
        read_integer(value, number, {bounds.low, high}, path, problem);
        target = static_cast<T>(number);
    }
    else if constexpr (std::is_floating_point_v<T>) {
        read_number(value, target, bounds, path, problem);
    }
    else if constexpr (std::is_same_v<T, std::string>) {
        read_text(value, target, {}, path, problem);
    }
    else if constexpr (strong_value<T>) {
        typename T::value_type inner{};
        if constexpr (std::is_same_v<typename T::value_type, std::string>) {
            read_text(value, inner, {64, true}, path, problem);
        }
        else {
            read_value(value, inner, bounds, path, problem);
        }
        target = T{std::move(inner)};
    }
    else if constexpr (is_map<T>::value) {
        read_map(value, target, bounds, path, problem);
    }
    else if constexpr (is_set<T>::value || is_vector<T>::value) {
        read_list(value, target, bounds, path, problem);
    }
    else {
        json_reader members{value, path, problem};
        fields(members, target);
        members.finish();
    }
}

template <class T>
nlohmann::json json_writer::write_value(const T& source)
{
    if constexpr (is_optional<T>::value) {
        return write_value(*source);
    }
    else if constexpr (is_milliseconds<T>::value) {
        return source.count();
    }
    else if constexpr (std::is_enum_v<T>) {
        for (const auto& [name, option] : enum_names(T{})) {
            if (option == source) {
                return name;
            }
        }
        return nullptr;
    }
    else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
        return source;
    }
    else if constexpr (strong_value<T>) {
        return write_value(source.value());
    }
    else if constexpr (is_map<T>::value) {
        nlohmann::json object = nlohmann::json::object();
        for (const auto& [name, value] : source) {
            object[name.value()] = write_value(value);
        }
        return object;
    }
    else if constexpr (is_set<T>::value || is_vector<T>::value) {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& item : source) {
            list.push_back(write_value(item));
        }
        return list;
    }
    else {
        json_writer members;
        T copy = source;
        fields(members, copy);
        return members.take();
    }
}

/// Parses JSON of bounded size and depth, in which no object has duplicate members.
outcome<nlohmann::json> parse_unique_json(std::string_view text, std::size_t max_bytes, std::size_t max_depth);

} // namespace agatespar
