#include "jasminearch/consensus/messages.h"
#include "jasminearch/consensus/node.h"
#include <cstdlib>

using namespace jasminearch;
using namespace jasminearch::consensus;

/// Decodes arbitrary bytes as a message of a peer. A decoded message must be
/// equal after encoding and decoding, and must not crash a follower or a
/// leader. A second pass uses storage ids that the node accepts.

namespace {

NodeState makeFollower() {
  StoredState Stored;
  Stored.Hard.Current = 1;
  Stored.Log.Entries.push_back(
      {1, 1, EntryKind::Membership,
       encodeMembers(
           {{"a", "sa", true}, {"b", "sb", true}, {"c", "sc", true}})});
  for (LogIndex Index = 2; Index <= 5; ++Index)
    Stored.Log.Entries.push_back({Index, 1, EntryKind::Data, {1, 2, 3}});
  return makeNode({"a", "sa", {"a", "b", "c", "d"}, 1, 0}, std::move(Stored),
                  TimePoint{});
}

NodeState makeLeader(TimePoint Now) {
  NodeState Node = makeFollower();
  Node.ElectionDeadline = Now;
  tick(Node, Now);
  receive(Node, "b", {"sb", "sa", 2, VoteReply{true, true}}, Now);
  receive(Node, "b", {"sb", "sa", 2, VoteReply{false, true}}, Now);
  markSynced(Node);
  return Node;
}

void feed(NodeState Node, const Message &Received, TimePoint Now) {
  receive(Node, "b", Received, Now);
  markSynced(Node);
  tick(Node, Now + ElectionTimeoutMax);
  receive(Node, "b", Received, Now + ElectionTimeoutMax);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  static const TimePoint Now = TimePoint{} + std::chrono::seconds(10);
  static const NodeState Follower = makeFollower();
  static const NodeState Leader = makeLeader(Now);
  auto Received = decodeMessage(Bytes(Data, Data + Size));
  if (!Received)
    return 0;
  if (decodeMessage(encode(*Received)) != Received)
    std::abort();
  feed(Follower, *Received, Now);
  feed(Leader, *Received, Now);
  Received->FromStorageId = "sb";
  Received->ToStorageId = "sa";
  feed(Follower, *Received, Now);
  feed(Leader, *Received, Now);
  Received->InTerm = 2;
  feed(Leader, *Received, Now);
  return 0;
}
