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

/// Different labels prevent the proof of one direction from being replayed in
/// the other.
constexpr std::string_view HelloLabel = "jasminearch hello 1";
constexpr std::string_view WelcomeLabel = "jasminearch welcome 1";

/// Appends \p Value as 8 bytes, most significant byte first.
void appendNumber(Bytes &Out, std::uint64_t Value) {
  constexpr int HighShift = 56;
  for (int Shift = HighShift; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<std::uint8_t>(Value >> Shift));
}

/// Appends \p Value after its size, so that different lists of fields never
/// have the same encoding.
template <typename Range> void appendField(Bytes &Out, const Range &Value) {
  appendNumber(Out, Value.size());
  Out.insert(Out.end(), Value.begin(), Value.end());
}

Bytes computeHmac(const std::string &Key, const Bytes &Input) {
  Bytes Proof(ProofBytes);
  unsigned Size = 0;
  if (HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), Input.data(),
           Input.size(), Proof.data(), &Size) == nullptr ||
      Size != ProofBytes)
    throw std::runtime_error("libcrypto could not compute HMAC-SHA256");
  return Proof;
}

} // namespace

Bytes generateNonce() {
  Bytes Nonce(NonceBytes);
  if (RAND_bytes(Nonce.data(), static_cast<int>(Nonce.size())) != 1)
    throw std::runtime_error("RAND_bytes could not generate a nonce");
  return Nonce;
}

Bytes helloProof(const std::string &Key, const Bytes &Nonce,
                 const Hello &HelloMessage) {
  Bytes Input;
  appendField(Input, HelloLabel);
  appendField(Input, Nonce);
  appendField(Input, HelloMessage.Cluster);
  appendField(Input, HelloMessage.Name);
  appendNumber(Input, static_cast<std::uint64_t>(HelloMessage.Sender));
  appendNumber(Input, HelloMessage.RunId);
  appendNumber(Input, HelloMessage.InForce.Number);
  appendField(Input, HelloMessage.Nonce);
  return computeHmac(Key, Input);
}

Bytes welcomeProof(const std::string &Key, const Bytes &Nonce,
                   const std::string &Cluster, const std::string &Host) {
  Bytes Input;
  appendField(Input, WelcomeLabel);
  appendField(Input, Nonce);
  appendField(Input, Cluster);
  appendField(Input, Host);
  return computeHmac(Key, Input);
}

bool proofsEqual(const Bytes &Left, const Bytes &Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

Expected<void> checkHello(const Hello &HelloMessage, const std::string &Key,
                          const Bytes &Nonce, const std::string &Cluster) {
  if (HelloMessage.Cluster != Cluster)
    return fail(ErrorCode::WrongCluster, "this host belongs to cluster " +
                                             Cluster + ", not to " +
                                             HelloMessage.Cluster);
  if (!proofsEqual(HelloMessage.Proof, helloProof(Key, Nonce, HelloMessage)))
    return fail(ErrorCode::UnknownMember,
                HelloMessage.Name + " sent no valid proof of the link key");
  return {};
}

} // namespace jasminearch::link
