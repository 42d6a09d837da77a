// Tells where a request that libsoup has read ends, and refuses those that do not tell.
#pragma once

#include <libsoup/soup.h>

#include <string_view>

namespace agatespar {

/// @return whether the head tells where the request ends (RFC 9112, section 6.3). libsoup takes the last one of several
/// fields, and one of a length and a transfer encoding, so another reader may see another end.
bool is_delimited(SoupServerMessage* message);
/// @return whether the head of a request that should have a body has no field that delimits it. libsoup drops malformed
/// fields without notice, such as a length whose name is followed by a blank.
bool lacks_length(SoupServerMessage* message);
/// Answers a request of which no further byte can be attributed, and closes its connection.
void refuse_undelimited(SoupServerMessage* message);

/// Sends an answer before the request's body has been read, and closes the sending side of the connection, so that the
/// client gets the answer while the rest of its body is read and discarded. Not for encrypted connections.
void send_early(SoupServerMessage* message, std::string_view answer);

} // namespace agatespar
