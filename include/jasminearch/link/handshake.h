#ifndef JASMINEARCH_LINK_HANDSHAKE_H
#define JASMINEARCH_LINK_HANDSHAKE_H

#include "jasminearch/error.h"
#include "jasminearch/link/messages.h"
#include "jasminearch/types.h"
#include <string>

/// Proof of the link key. The accepting side sends a random nonce (Challenge);
/// the opening side answers with an HMAC over it (Hello::Proof), and gets one
/// over its own nonce back (Welcome::Proof). The key itself is never sent, and
/// a recorded proof doesn't fit another link's nonce.
namespace jasminearch::link {

/// \returns NonceBytes random bytes from the operating system.
Bytes generateNonce();

/// \returns HMAC-SHA256 with \p Key over \p Nonce and all fields of \p Claim
/// but Proof.
Bytes helloProof(const std::string &Key, const Bytes &Nonce,
                 const Hello &Claim);

/// \returns HMAC-SHA256 with \p Key over \p Nonce and the names.
Bytes welcomeProof(const std::string &Key, const Bytes &Nonce,
                   const std::string &Cluster, const std::string &Host);

/// Compares two proofs in time that doesn't depend on their contents.
bool proofsEqual(const Bytes &Left, const Bytes &Right);

/// Checks a Hello's cluster and proof. \returns WrongCluster, or UnknownMember
/// for a proof that doesn't match.
Expected<void> checkHello(const Hello &Claim, const std::string &Key,
                          const Bytes &Nonce, const std::string &Cluster);

} // namespace jasminearch::link

#endif // JASMINEARCH_LINK_HANDSHAKE_H
