// Uses the library without a daemon: applies commands, builds a routing
// snapshot, and prints where a caller's datagram goes before and after a drain.
#include "jasminearch/control/state_machine.h"
#include "jasminearch/routing/entry_router.h"
#include "jasminearch/settings.h"
#include <iostream>

using namespace jasminearch;

namespace {

/// Applies \p Body as the next revision. \returns whether it was accepted.
bool applyNext(control::State &Cluster, control::CommandBody Body) {
  const Revision Next{Cluster.Config.InForce.Number + 1};
  const auto Result =
      control::apply(Cluster, control::Command{"", std::move(Body)}, Next);
  if (!Result.Accepted)
    std::cerr << toString(Result.Reason) << '\n';
  return Result.Accepted;
}

/// \returns the address of the agent that a datagram of \p Caller goes to, or
/// the name of the error.
std::string destination(const control::State &Cluster, Endpoint Caller,
                        Endpoint Service) {
  const auto Routing =
      routing::buildRoutingSnapshot(nullptr, Cluster.Config).value();
  const auto Decision = routing::decideForward(
      *Routing, wire::ProxyHeader{Caller, Service}, Endpoint{}, TraceId{1});
  return Decision.Failure == ErrorCode{} ? toString(Decision.Agent)
                                         : name(Decision.Failure);
}

} // namespace

int main() {
  const Endpoint Service = parseEndpoint("127.0.0.10:5683").value();
  const Endpoint Caller = parseEndpoint("127.0.0.99:40000").value();
  control::State Cluster;
  control::Profile Tablets;
  Tablets.Name = "tablets";
  control::Service Order;
  Order.Name = "order";
  Order.Address = Service;
  Order.ProfileName = "tablets";
  bool Succeeded = applyNext(Cluster, control::PutProfile{Tablets, {}}) &&
                   applyNext(Cluster, control::PutService{Order, {}});
  for (const char *Number : {"1", "2"}) {
    control::UpstreamAnnouncement Up;
    Up.Name = std::string("order-") + Number;
    Up.ServiceName = "order";
    Up.DataCentre = "salto";
    Up.Agent =
        parseEndpoint(std::string("127.0.0.2") + Number + ":7400").value();
    Succeeded = Succeeded && applyNext(Cluster, control::AnnounceUpstream{Up});
  }
  const std::string Before = destination(Cluster, Caller, Service);
  const std::string Owner = Before == "127.0.0.21:7400" ? "order-1" : "order-2";
  control::SetDrain Drain;
  Drain.UpstreamName = Owner;
  Drain.Expected = Cluster.Config.InForce;
  Succeeded = Succeeded && applyNext(Cluster, Drain);
  const std::string After = destination(Cluster, Caller, Service);
  std::cout << "before the drain of " << Owner << ": " << Before
            << "\nafter the drain: " << After << '\n';
  return Succeeded && Before != After ? 0 : 1;
}
