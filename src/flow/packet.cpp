#include "jasminearch/flow/packet.h"

namespace jasminearch::flow {

std::string toString(const FlowKey &Key) {
  return toString(Key.Caller) + ">" + toString(Key.Service);
}

} // namespace jasminearch::flow
