#ifndef JASMINEARCH_FLOW_ENTRY_QUEUE_H
#define JASMINEARCH_FLOW_ENTRY_QUEUE_H

#include "jasminearch/flow/entry_flows.h"
#include "jasminearch/flow/link_queue.h"

/// Connects the flow logic of an entry host with its queue to the agents.
namespace jasminearch::flow {

/// Starts or ends pacing when admission control has been enabled or disabled,
/// and tells the admission control what waits.
void updatePacing(LinkQueue &Q, UploadBudget &B);

/// \returns \p S with its class and the packet that it carries.
QueuedDatagram describeDatagram(const EntryFlows &E, SendTunnel S);

/// Queues a datagram unless it may leave at once. \returns whether it may; if
/// not, \p S has been moved from.
bool leavesAtOnce(LinkQueue &Q, const EntryFlows &E, SendTunnel &S,
                  TimePoint Now);

} // namespace jasminearch::flow

#endif // JASMINEARCH_FLOW_ENTRY_QUEUE_H
