#ifndef JASMINEARCH_CONSENSUS_DETAIL_NODE_STEPS_H
#define JASMINEARCH_CONSENSUS_DETAIL_NODE_STEPS_H

#include "jasminearch/consensus/node.h"

/// Internal functions shared by the source files of node.h.
namespace jasminearch::consensus::detail {

// node.cpp
/// Adds a message in the current term to \p Out.
void send(const NodeState &Node, Effects &Out, const std::string &Host,
          const std::string &ToStorageId, MessageBody Body);
/// Schedules the next campaign at a random time within [\p Min, \p Max) from
/// \p Now.
void resetElectionTimer(NodeState &Node, TimePoint Now, Duration Min,
                        Duration Max);
/// Becomes a follower in \p InTerm, which must not be below the current term.
void becomeFollower(NodeState &Node, Term InTerm, Effects &Out, TimePoint Now);
/// \returns whether \p Id is a voter among \p Members.
bool isVoter(const std::vector<Member> &Members, const MemberId &Id);
/// \returns the host name and storage id of this node.
MemberId ownMemberId(const NodeState &Node);
/// Updates NodeState::Memberships after \p Entry was appended.
void recordMembership(NodeState &Node, const LogEntry &Entry);
/// Updates NodeState::Memberships after entries were removed from the log.
void dropTruncatedMemberships(NodeState &Node);

/// \returns \p At as a timestamp in this node's messages.
std::int64_t toWireTimestamp(const NodeState &Node, TimePoint At);
/// Inverse of toWireTimestamp(). \returns std::nullopt unless the time is
/// within [\p From, \p To].
std::optional<TimePoint> fromWireTimestamp(const NodeState &Node,
                                           std::int64_t Timestamp,
                                           TimePoint From, TimePoint To);

// node_election.cpp
/// \returns whether the log shows that \p StorageId led the current term. If
/// that host requests votes, it no longer leads, so no lease of this or an
/// earlier term can still be held.
bool ledCurrentTerm(const NodeState &Node, const std::string &StorageId);
/// Starts a pre-vote if the election timer has expired.
void runElectionTimer(NodeState &Node, Effects &Out, TimePoint Now);
void onVoteRequest(NodeState &Node, const std::string &Host,
                   const Message &Received, const VoteRequest &Body,
                   Effects &Out, TimePoint Now);
void onVoteReply(NodeState &Node, const std::string &Host,
                 const Message &Received, const VoteReply &Body, Effects &Out,
                 TimePoint Now);

// node_follower.cpp
void onAppendRequest(NodeState &Node, const std::string &Host,
                     const Message &Received, const AppendRequest &Body,
                     Effects &Out, TimePoint Now);
void onSnapshotChunk(NodeState &Node, const std::string &Host,
                     const Message &Received, const SnapshotChunk &Body,
                     Effects &Out, TimePoint Now);

// node_leader.cpp
/// Starts to lead the current term with a NoOp entry.
void becomeLeader(NodeState &Node, Effects &Out, TimePoint Now);
/// Steps down without a quorum, changes the membership and sends heartbeats,
/// each when due.
void runLeaderTimers(NodeState &Node, Effects &Out, TimePoint Now);
void onAppendReply(NodeState &Node, const std::string &Host,
                   const Message &Received, const AppendReply &Body,
                   Effects &Out, TimePoint Now);
void onSnapshotReply(NodeState &Node, const std::string &Host,
                     const Message &Received, const SnapshotReply &Body,
                     Effects &Out, TimePoint Now);
/// Advances CommitIndex to the last index that a majority of voters has stored.
void advanceCommitIndex(NodeState &Node);
/// \returns when a quorum of the voters last confirmed this leader, or a time
/// long ago if none did.
TimePoint quorumConfirmedAt(const NodeState &Node, TimePoint Now);
/// Sends the next entries or snapshot chunk that \p Host needs. With
/// \p Heartbeat, sends a message even if there is nothing new.
void sendToPeer(NodeState &Node, const std::string &Host, bool Heartbeat,
                Effects &Out, TimePoint Now);

// node_membership.cpp
/// Updates NodeState::Peers to match the member list in force.
void updatePeers(NodeState &Node);
void onJoinRequest(NodeState &Node, const std::string &Host,
                   const Message &Received, TimePoint Now);
/// Starts the next pending membership change if one may start now.
void changeMembership(NodeState &Node, Effects &Out, TimePoint Now);
/// Sends JoinRequests if this node may not be a member.
void runJoinTimer(NodeState &Node, Effects &Out, TimePoint Now);
/// Appends an internal entry of this leader to its log.
void appendAsLeader(NodeState &Node, EntryKind Kind, Bytes Payload,
                    Effects &Out);

} // namespace jasminearch::consensus::detail

#endif // JASMINEARCH_CONSENSUS_DETAIL_NODE_STEPS_H
