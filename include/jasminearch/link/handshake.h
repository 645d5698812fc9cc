#ifndef JASMINEARCH_LINK_HANDSHAKE_H
#define JASMINEARCH_LINK_HANDSHAKE_H

#include "jasminearch/error.h"
#include "jasminearch/link/messages.h"
#include "jasminearch/types.h"
#include <string>

/// Mutual authentication with the link key. The accepting side sends a random
/// nonce (Challenge). The connecting side answers with an HMAC over it
/// (Hello::Proof) and receives an HMAC over its own nonce (Welcome::Proof). The
/// key itself is never sent, and a recorded proof is invalid for the nonce of
/// any other link.
namespace jasminearch::link {

/// \returns NonceBytes random bytes from the cryptographic random generator.
Bytes generateNonce();

/// \returns the HMAC-SHA256 with \p Key over \p Nonce and all fields of \p
/// HelloMessage except Proof.
Bytes helloProof(const std::string &Key, const Bytes &Nonce,
                 const Hello &HelloMessage);

/// \returns the HMAC-SHA256 with \p Key over \p Nonce, \p Cluster and \p Host.
Bytes welcomeProof(const std::string &Key, const Bytes &Nonce,
                   const std::string &Cluster, const std::string &Host);

/// Compares two proofs in constant time.
bool proofsEqual(const Bytes &Left, const Bytes &Right);

/// Checks the cluster and the proof of a Hello. \returns WrongCluster, or
/// UnknownMember if the proof doesn't match.
Expected<void> checkHello(const Hello &HelloMessage, const std::string &Key,
                          const Bytes &Nonce, const std::string &Cluster);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_HANDSHAKE_H
