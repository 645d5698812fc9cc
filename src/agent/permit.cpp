#include "jasminearch/agent/permit.h"
#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace jasminearch::agent {

namespace {

constexpr unsigned OctetBits = 8;
constexpr std::size_t SignedBytes = PermitBytes - PermitMacBytes;

using Mac = std::array<std::uint8_t, PermitMacBytes>;

template <typename Value> std::uint8_t *put(std::uint8_t *At, Value Number) {
  for (std::size_t Left = sizeof(Value); Left > 0; --Left)
    *At++ = static_cast<std::uint8_t>(Number >> ((Left - 1) * OctetBits));
  return At;
}

template <typename Value>
const std::uint8_t *take(const std::uint8_t *At, Value &Number) {
  Number = 0;
  for (std::size_t Left = sizeof(Value); Left > 0; --Left)
    Number = static_cast<Value>((Number << OctetBits) | *At++);
  return At;
}

Mac macOf(absl::Span<const std::uint8_t> Signed, const PermitKey &Key) {
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> Full{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()), Signed.data(),
       Signed.size(), Full.data(), &Size);
  Mac Out{};
  std::copy_n(Full.begin(), Out.size(), Out.begin());
  return Out;
}

} // namespace

Expected<PermitKey> makePermitKey() {
  PermitKey Key{};
  if (RAND_bytes(Key.data(), static_cast<int>(Key.size())) != 1)
    return fail(ErrorCode::PermitMalformed,
                "libcrypto has no random bytes for the permit key");
  return Key;
}

EncodedPermit encodePermit(const Permit &Value, const PermitKey &Key) {
  EncodedPermit Out{};
  std::uint8_t *At = Out.data();
  At = put(At, Value.Owner.Number);
  At = put(At, Value.Instance.Number);
  At = put(At, Value.Nonce);
  At = put(At, Value.ExpiryMs);
  const Mac Check = macOf({Out.data(), SignedBytes}, Key);
  std::copy(Check.begin(), Check.end(), At);
  return Out;
}

Expected<Permit> readPermit(absl::Span<const std::uint8_t> Encoded) {
  if (Encoded.size() != PermitBytes)
    return fail(ErrorCode::PermitMalformed, "Echo option of " +
                                                std::to_string(Encoded.size()) +
                                                " bytes; a permit has 40");
  Permit Out;
  const std::uint8_t *At = Encoded.data();
  At = take(At, Out.Owner.Number);
  At = take(At, Out.Instance.Number);
  At = take(At, Out.Nonce);
  take(At, Out.ExpiryMs);
  return Out;
}

Expected<void> verifyPermit(absl::Span<const std::uint8_t> Encoded,
                            const PermitKey &Key) {
  if (Encoded.size() != PermitBytes)
    return fail(ErrorCode::PermitMalformed, "permit of the wrong size");
  const Mac Check = macOf(Encoded.subspan(0, SignedBytes), Key);
  if (CRYPTO_memcmp(Check.data(), Encoded.data() + SignedBytes, Check.size()) !=
      0)
    return fail(ErrorCode::PermitForged, "the permit's MAC does not match");
  return {};
}

} // namespace jasminearch::agent
