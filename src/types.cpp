#include "jasminearch/types.h"

namespace jasminearch {

std::string toString(const Endpoint &E) {
  constexpr unsigned OctetBits = 8;
  std::string Text;
  for (int Shift = 3 * OctetBits; Shift >= 0; Shift -= OctetBits) {
    Text += std::to_string((E.Address >> Shift) & 0xFFU);
    Text += Shift > 0 ? "." : ":";
  }
  return Text + std::to_string(E.Port);
}

} // namespace jasminearch
