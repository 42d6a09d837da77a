// Tests of rendezvous ownership: balance, and which keys move when a member leaves.
#include <agatespar/membership/rendezvous.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>

using namespace agatespar;

SCENARIO("ownership is balanced, and only the keys of a leaving VM move")
{
    constexpr std::size_t vms = 68;
    constexpr std::size_t keys = 20'000;
    std::mt19937_64 random{7};
    std::vector<boot_id> members;
    for (std::size_t index = 0; index < vms; ++index) {
        members.push_back(boot_id{random()});
    }
    std::map<boot_id, std::size_t> load;
    std::vector<boot_id> owners;
    for (std::size_t key = 0; key < keys; ++key) {
        owners.push_back(*owner_of(ownership_key("server/" + std::to_string(key)), members));
        ++load[owners.back()];
    }
    THEN("no VM owns a third more keys than the mean")
    {
        for (const auto& [boot, count] : load) {
            CHECK(count < keys / vms * 4 / 3);
        }
    }
    WHEN("one VM leaves")
    {
        const boot_id gone = members[11];
        std::vector<boot_id> rest = members;
        std::erase(rest, gone);
        std::shuffle(rest.begin(), rest.end(), random);
        std::size_t moved = 0;
        for (std::size_t key = 0; key < keys; ++key) {
            const std::uint64_t hash = ownership_key("server/" + std::to_string(key));
            const boot_id owner = *owner_of(hash, rest);
            moved += owner != owners[key] ? 1 : 0;
            CHECK((owner == owners[key]) == (owners[key] != gone));
            CHECK(owners_of(hash, members, 2)[owners[key] == gone ? 1 : 0] == owner);
        }
        THEN("only its keys move, each to the second of its owners")
        {
            CHECK(moved == load[gone]);
        }
    }
    THEN("without members there is no owner, and at most all members are owners")
    {
        CHECK_FALSE(owner_of(1, {}));
        CHECK(owners_of(1, std::span{members}.first(2), 5).size() == 2);
    }
}
