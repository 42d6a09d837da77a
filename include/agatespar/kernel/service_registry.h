// Registry of the daemon's services by name.
#pragma once

#include <cassert>
#include <string>
#include <string_view>
#include <typeindex>
#include <unordered_map>

namespace agatespar {

/// Maps names to services, which the daemon owns.
class service_registry {
public:
    /// Registers a service under a name that is not in use yet.
    template <class Service>
    void provide(std::string name, Service& service)
    {
        const bool inserted = entries_.emplace(std::move(name), entry{typeid(Service), &service}).second;
        assert(inserted && "a service name is registered only once");
        (void)inserted;
    }

    /// @return the service, or null if no service of that name and type is registered.
    template <class Service>
    Service* find(std::string_view name) const
    {
        const auto found = entries_.find(std::string{name});
        if (found == entries_.end() || found->second.type != std::type_index{typeid(Service)}) {
            return nullptr;
        }
        return static_cast<Service*>(found->second.service);
    }

    /// @return the service, which must be registered.
    template <class Service>
    Service& get(std::string_view name) const
    {
        Service* service = find<Service>(name);
        assert(service != nullptr && "a required service is registered before its users start");
        return *service;
    }

private:
    struct entry {
        std::type_index type;
        void* service;
    };

    std::unordered_map<std::string, entry> entries_;
};

} // namespace agatespar
