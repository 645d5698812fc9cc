#include "jasminearch/routing/entry_router.h"
#include "jasminearch/wire/frame.h"
#include <cstdlib>

using namespace jasminearch;

/// Decodes arbitrary bytes as a frame. A decoded frame must survive a round
/// trip, and the same datagram without its last byte must be refused.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  const absl::Span<const std::uint8_t> Datagram(Data, Size);
  const auto View = wire::decodeFrame(Datagram);
  if (!View)
    return 0;
  if (Size > 0 && wire::decodeFrame(Datagram.first(Size - 1)))
    std::abort();
  static std::uint8_t Buffer[wire::MaxDatagramBytes];
  const auto Written = wire::encodeFrame(View->Header, View->Payload, Buffer);
  // Encoding uses the shortest form, so it never needs more bytes than the
  // input.
  if (!Written || *Written > Size)
    std::abort();
  const auto Again =
      wire::decodeFrame(absl::Span<const std::uint8_t>(Buffer, *Written));
  if (!Again || Again->Header != View->Header ||
      Again->Payload != View->Payload)
    std::abort();
  // An empty snapshot has no services.
  const auto Decision =
      routing::decideAnswer(routing::RoutingSnapshot{}, View->Header);
  if (Decision.Failure != ErrorCode::UnknownService)
    std::abort();
  return 0;
}
