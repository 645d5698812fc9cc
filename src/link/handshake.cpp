#include "jasminearch/link/handshake.h"
#include <initializer_list>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <string_view>

namespace jasminearch::link {
namespace {

/// Labels keep a proof of one direction from being valid in the other.
constexpr std::string_view HelloLabel = "jasminearch hello 1";
constexpr std::string_view WelcomeLabel = "jasminearch welcome 1";

/// Appends \p Value in a fixed width, high byte first.
void appendNumber(Bytes &Out, std::uint64_t Value) {
  constexpr int HighShift = 56;
  for (int Shift = HighShift; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<std::uint8_t>(Value >> Shift));
}

/// Appends the size first, so that no two lists of fields look the same.
template <typename Text> void appendField(Bytes &Out, const Text &Value) {
  appendNumber(Out, Value.size());
  Out.insert(Out.end(), Value.begin(), Value.end());
}

Bytes authenticate(const std::string &Key, const Bytes &Text) {
  Bytes Proof(ProofBytes);
  unsigned Size = 0;
  if (HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), Text.data(),
           Text.size(), Proof.data(), &Size) == nullptr ||
      Size != ProofBytes)
    throw std::runtime_error("HMAC-SHA256 is not available in libcrypto");
  return Proof;
}

} // namespace

Bytes generateNonce() {
  Bytes Nonce(NonceBytes);
  if (RAND_bytes(Nonce.data(), static_cast<int>(Nonce.size())) != 1)
    throw std::runtime_error("the system has no random bytes");
  return Nonce;
}

Bytes helloProof(const std::string &Key, const Bytes &Nonce,
                 const Hello &Claim) {
  Bytes Text;
  appendField(Text, HelloLabel);
  appendField(Text, Nonce);
  appendField(Text, Claim.Cluster);
  appendField(Text, Claim.Name);
  appendNumber(Text, static_cast<std::uint64_t>(Claim.Sender));
  appendNumber(Text, Claim.RunId);
  appendNumber(Text, Claim.InForce.Number);
  appendField(Text, Claim.Nonce);
  return authenticate(Key, Text);
}

Bytes welcomeProof(const std::string &Key, const Bytes &Nonce,
                   const std::string &Cluster, const std::string &Host) {
  Bytes Text;
  appendField(Text, WelcomeLabel);
  appendField(Text, Nonce);
  appendField(Text, Cluster);
  appendField(Text, Host);
  return authenticate(Key, Text);
}

bool proofsEqual(const Bytes &Left, const Bytes &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

Expected<void> checkHello(const Hello &Claim, const std::string &Key,
                          const Bytes &Nonce, const std::string &Cluster) {
  if (Claim.Cluster != Cluster)
    return fail(ErrorCode::WrongCluster, "this is a host of cluster " +
                                             Cluster + ", not of " +
                                             Claim.Cluster);
  if (!proofsEqual(Claim.Proof, helloProof(Key, Nonce, Claim)))
    return fail(ErrorCode::UnknownMember,
                Claim.Name + " does not know the link key");
  return {};
}

} // namespace jasminearch::link
