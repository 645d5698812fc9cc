#include "jasminearch/agent/permit.h"
#include <algorithm>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace jasminearch::agent {

namespace {

constexpr unsigned BitsPerByte = 8;
constexpr std::size_t AuthenticatedBytes = PermitBytes - PermitMacBytes;

using Mac = std::array<std::uint8_t, PermitMacBytes>;

template <typename Value>
std::uint8_t *writeBigEndian(std::uint8_t *Position, Value Number) {
  for (std::size_t BytesLeft = sizeof(Value); BytesLeft > 0; --BytesLeft)
    *Position++ =
        static_cast<std::uint8_t>(Number >> ((BytesLeft - 1) * BitsPerByte));
  return Position;
}

template <typename Value>
const std::uint8_t *readBigEndian(const std::uint8_t *Position, Value &Number) {
  Number = 0;
  for (std::size_t BytesLeft = sizeof(Value); BytesLeft > 0; --BytesLeft)
    Number = static_cast<Value>((Number << BitsPerByte) | *Position++);
  return Position;
}

Mac computeMac(absl::Span<const std::uint8_t> Authenticated,
               const PermitKey &Key) {
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> Full{};
  unsigned Size = 0;
  HMAC(EVP_sha256(), Key.data(), static_cast<int>(Key.size()),
       Authenticated.data(), Authenticated.size(), Full.data(), &Size);
  Mac Out{};
  std::copy_n(Full.begin(), Out.size(), Out.begin());
  return Out;
}

} // namespace

Expected<PermitKey> makePermitKey() {
  PermitKey Key{};
  if (RAND_bytes(Key.data(), static_cast<int>(Key.size())) != 1)
    return fail(ErrorCode::PermitMalformed,
                "libcrypto failed to generate random bytes for the permit key");
  return Key;
}

EncodedPermit encodePermit(const Permit &Value, const PermitKey &Key) {
  EncodedPermit Out{};
  std::uint8_t *Position = Out.data();
  Position = writeBigEndian(Position, Value.Owner.Number);
  Position = writeBigEndian(Position, Value.Instance.Number);
  Position = writeBigEndian(Position, Value.Nonce);
  Position = writeBigEndian(Position, Value.ExpiryMs);
  const Mac ExpectedMac = computeMac({Out.data(), AuthenticatedBytes}, Key);
  std::copy(ExpectedMac.begin(), ExpectedMac.end(), Position);
  return Out;
}

Expected<Permit> readPermit(absl::Span<const std::uint8_t> Encoded) {
  if (Encoded.size() != PermitBytes)
    return fail(ErrorCode::PermitMalformed,
                "Echo option of " + std::to_string(Encoded.size()) +
                    " bytes; a permit has 40 bytes");
  Permit Out;
  const std::uint8_t *Position = Encoded.data();
  Position = readBigEndian(Position, Out.Owner.Number);
  Position = readBigEndian(Position, Out.Instance.Number);
  Position = readBigEndian(Position, Out.Nonce);
  readBigEndian(Position, Out.ExpiryMs);
  return Out;
}

Expected<void> verifyPermit(absl::Span<const std::uint8_t> Encoded,
                            const PermitKey &Key) {
  if (Encoded.size() != PermitBytes)
    return fail(ErrorCode::PermitMalformed,
                "wrong size of the permit; expected 40 bytes");
  const Mac ExpectedMac =
      computeMac(Encoded.subspan(0, AuthenticatedBytes), Key);
  if (CRYPTO_memcmp(ExpectedMac.data(), Encoded.data() + AuthenticatedBytes,
                    ExpectedMac.size()) != 0)
    return fail(ErrorCode::PermitForged,
                "the MAC of the permit does not match");
  return {};
}

} // namespace jasminearch::agent
