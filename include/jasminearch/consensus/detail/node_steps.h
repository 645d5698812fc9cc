#ifndef JASMINEARCH_CONSENSUS_DETAIL_NODE_STEPS_H
#define JASMINEARCH_CONSENSUS_DETAIL_NODE_STEPS_H

#include "jasminearch/consensus/node.h"

/// Steps of the node's decisions that its source files share.
namespace jasminearch::consensus::detail {

// node.cpp
void send(const NodeState &Node, Effects &Out, const std::string &Host,
          const std::string &ToStorageId, MessageBody Body);
/// Sets the next campaign to a random time within [\p Min, \p Max).
void armElection(NodeState &Node, TimePoint Now, Duration Min, Duration Max);
/// Becomes a follower of \p InTerm, which is at least the current one.
void becomeFollower(NodeState &Node, Term InTerm, Effects &Out, TimePoint Now);
bool isVoter(const std::vector<Member> &Members, const StorageRef &Who);
StorageRef self(const NodeState &Node);
/// Recomputes Memberships after entries were appended or removed.
void trackAppended(NodeState &Node, const LogEntry &Entry);
void trackTruncated(NodeState &Node);

/// \returns \p At as this node writes it on the wire.
std::int64_t toStamp(const NodeState &Node, TimePoint At);
/// Inverse of toStamp(). Empty unless the time is within [\p From, \p To].
std::optional<TimePoint> fromStamp(const NodeState &Node, std::int64_t Stamp,
                                   TimePoint From, TimePoint To);

// node_election.cpp
/// \returns whether the log tells that \p StorageId led the current term. When
/// such a host asks for votes, it doesn't lead any more, and no lease of this
/// term or an earlier one can last.
bool ledCurrentTerm(const NodeState &Node, const std::string &StorageId);
void runElectionTimer(NodeState &Node, Effects &Out, TimePoint Now);
void onVoteRequest(NodeState &Node, const std::string &Host,
                   const Message &Received, const VoteRequest &Body,
                   Effects &Out, TimePoint Now);
void onVoteReply(NodeState &Node, const std::string &Host,
                 const Message &Received, const VoteReply &Body, Effects &Out,
                 TimePoint Now);

// node_replication.cpp: follower
void onAppendRequest(NodeState &Node, const std::string &Host,
                     const Message &Received, const AppendRequest &Body,
                     Effects &Out, TimePoint Now);
void onSnapshotChunk(NodeState &Node, const std::string &Host,
                     const Message &Received, const SnapshotChunk &Body,
                     Effects &Out, TimePoint Now);

// node_leader.cpp
void becomeLeader(NodeState &Node, Effects &Out, TimePoint Now);
void runLeaderTimers(NodeState &Node, Effects &Out, TimePoint Now);
void onAppendReply(NodeState &Node, const std::string &Host,
                   const Message &Received, const AppendReply &Body,
                   Effects &Out, TimePoint Now);
void onSnapshotReply(NodeState &Node, const std::string &Host,
                     const Message &Received, const SnapshotReply &Body,
                     Effects &Out, TimePoint Now);
void advanceCommit(NodeState &Node);
/// \returns when a quorum of the members last confirmed this leader; long ago
/// if none did.
TimePoint quorumConfirmedAt(const NodeState &Node, TimePoint Now);
void sendToPeer(NodeState &Node, const std::string &Host, bool Heartbeat,
                Effects &Out, TimePoint Now);

// node_membership.cpp
/// Makes Peers match the member list in force.
void trackPeers(NodeState &Node);
void onJoinRequest(NodeState &Node, const std::string &Host,
                   const Message &Received, TimePoint Now);
/// Starts the next membership change that is due, if one may start now.
void changeMembership(NodeState &Node, Effects &Out, TimePoint Now);
void runJoinTimer(NodeState &Node, Effects &Out, TimePoint Now);
/// Appends an entry of this leader's.
void appendOwn(NodeState &Node, EntryKind Kind, Bytes Payload, Effects &Out);

} // namespace jasminearch::consensus::detail

#endif // JASMINEARCH_CONSENSUS_DETAIL_NODE_STEPS_H
