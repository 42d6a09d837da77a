// Computes a server's key from its qualified name.
#include <agatespar/backend/permit.h>
#include <agatespar/support/hash.h>

namespace agatespar {

server_key key_of(const server_id& server)
{
    return server_key{combine_hashes(stable_hash(server.fleet.value()), stable_hash(server.name.value()))};
}

} // namespace agatespar
