#include "jasminearch/control/codec.h"
#include "jasminearch/control/state_machine.h"
#include <cstddef>
#include <cstdint>
#include <cstdlib>

using namespace jasminearch;
using namespace jasminearch::control;

namespace {

/// Aborts if \p Condition is false, also in builds without assertions.
void require(bool Condition) {
  if (!Condition)
    std::abort();
}

/// A decoded command must encode to the same bytes and be applied without a
/// crash. Applied again under the same id, it must give the same result.
void checkCommand(const Bytes &Input) {
  const auto Decoded = decodeCommand(Input);
  if (!Decoded)
    return require(Decoded.error().Code == ErrorCode::MessageMalformed);
  require(encodeCommand(*Decoded) == Input);
  State S;
  const CommandResult First = apply(S, *Decoded, Revision{1});
  const CommandResult Again = apply(S, *Decoded, Revision{2});
  require(Decoded->Id.empty() || Decoded->Id.size() > MaxCommandIdLength ||
          First == Again);
}

/// A decoded state must encode to the same bytes and accept further commands
/// without a crash.
void checkState(const Bytes &Input) {
  auto Decoded = decodeState(Input);
  if (!Decoded)
    return require(Decoded.error().Code == ErrorCode::MessageMalformed);
  require(encodeState(*Decoded) == Input);
  const Revision NextRevision{Decoded->Config.InForce.Number + 1};
  for (const auto &[Id, U] : Configuration(Decoded->Config).Upstreams) {
    apply(*Decoded, {"", SetDrain{U.Name, true, U.Changed}}, NextRevision);
    apply(*Decoded, {"", RetireUpstream{Id, U.Instance}}, NextRevision);
    apply(*Decoded, {"", ForgetUpstream{U.Name, U.Changed}}, NextRevision);
  }
}

} // namespace

/// Decodes arbitrary bytes as a command or as a state. The first byte selects
/// which.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  if (Size == 0)
    return 0;
  const Bytes Input(Data + 1, Data + Size);
  if (Data[0] % 2 == 0)
    checkCommand(Input);
  else
    checkState(Input);
  return 0;
}
