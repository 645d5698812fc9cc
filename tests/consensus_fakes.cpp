#include "consensus_fakes.h"
#include "jasminearch/consensus/detail/cbor.h"
#include <algorithm>

namespace jasminearch::consensus::testing {

using namespace std::chrono_literals;

void FakeDisk::crash(std::mt19937_64 &Random) {
  Files = DurableFiles;
  for (auto &[Name, Content] : Files) {
    auto &[Current, Durable] = *Content;
    const bool Appended =
        Current.size() > Durable.size() &&
        std::equal(Durable.begin(), Durable.end(), Current.begin());
    if (Appended)
      Durable.insert(Durable.end(),
                     Current.begin() +
                         static_cast<std::ptrdiff_t>(Durable.size()),
                     Current.end() -
                         static_cast<std::ptrdiff_t>(
                             Random() % (Current.size() - Durable.size() + 1)));
    Current = Durable;
  }
}

bool FakeDisk::logSynced() const {
  const auto Found = Files.find("log");
  return Found == Files.end() ||
         Found->second->Current == Found->second->Durable;
}

std::shared_ptr<FakeDisk> FakeDisk::copy() const {
  auto Copy = std::make_shared<FakeDisk>();
  for (const auto &[Name, Content] : Files)
    Copy->Files[Name] = std::make_shared<File>(*Content);
  Copy->DurableFiles = Copy->Files;
  return Copy;
}

namespace {

class FakeFolder final : public DataFolder {
public:
  explicit FakeFolder(std::shared_ptr<FakeDisk> Disk) : Disk(std::move(Disk)) {}

  Expected<std::vector<std::string>> list() override {
    std::vector<std::string> Listed;
    for (const auto &[Name, Content] : Disk->Files)
      Listed.push_back(Name);
    return Listed;
  }

  Expected<Bytes> read(const std::string &Name) override {
    if (!Disk->Files.contains(Name))
      return fail(ErrorCode::StorageUnavailable, Name);
    return Disk->Files[Name]->Current;
  }

  Expected<void> create(const std::string &Name,
                        const Bytes &Content) override {
    Disk->Files[Name] = std::make_shared<FakeDisk::File>();
    return append(Name, Content);
  }

  Expected<void> append(const std::string &Name,
                        const Bytes &Content) override {
    const bool Fails = operationFails() || Disk->Full;
    const auto Length = Fails ? Content.size() / 2 : Content.size();
    auto &Current = Disk->Files.at(Name)->Current;
    Current.insert(Current.end(), Content.begin(),
                   Content.begin() + static_cast<std::ptrdiff_t>(Length));
    return resultOf(Fails);
  }

  Expected<void> truncate(const std::string &Name,
                          std::uint64_t Size) override {
    if (Disk->Full && Disk->RefusesAll)
      return resultOf(true);
    Disk->Files.at(Name)->Current.resize(Size);
    return {};
  }

  Expected<void> sync(const std::string &Name) override {
    if (operationFails() || (Disk->Full && Disk->RefusesAll))
      return resultOf(true);
    auto &[Current, Durable] = *Disk->Files.at(Name);
    Durable = Current;
    return {};
  }

  Expected<void> rename(const std::string &From,
                        const std::string &To) override {
    if (operationFails() || (Disk->Full && Disk->RefusesAll))
      return resultOf(true);
    Disk->Files[To] = Disk->Files.at(From);
    Disk->Files.erase(From);
    return {};
  }

  Expected<void> remove(const std::string &Name) override {
    Disk->Files.erase(Name);
    return {};
  }

  Expected<void> syncFolder() override {
    Disk->DurableFiles = Disk->Files;
    return {};
  }

private:
  bool operationFails() { return ++Disk->Operations == Disk->FailAt; }

  static Expected<void> resultOf(bool Fails) {
    if (Fails)
      return fail(ErrorCode::StorageFull, "the fake disk is full");
    return {};
  }

  std::shared_ptr<FakeDisk> Disk;
};

} // namespace

std::unique_ptr<DataFolder> openFakeFolder(std::shared_ptr<FakeDisk> Disk) {
  return std::make_unique<FakeFolder>(std::move(Disk));
}

TestCluster::TestCluster(unsigned Count, std::uint64_t Seed,
                         std::uint64_t EntriesPerSnapshot)
    : Random(Seed), EntriesPerSnapshot(EntriesPerSnapshot) {
  for (unsigned Index = 0; Index < Count; ++Index)
    addHost();
  for (unsigned Index = 0; Index < Count; ++Index)
    (void)start(Index, true);
}

void TestCluster::addHost() {
  Hosts.push_back(std::make_unique<Host>());
  Hosts.back()->Name = "control-" + std::to_string(Hosts.size());
}

Expected<void> TestCluster::start(unsigned Index, bool Bootstrap) {
  ReplicatedLogOptions Options;
  Options.Cluster = "test";
  Options.Host = host(Index).Name;
  for (const auto &Other : Hosts)
    Options.Hosts.push_back(Other->Name);
  Options.Bootstrap = Bootstrap;
  Options.Seed = Random();
  Options.EntriesPerSnapshot = EntriesPerSnapshot;
  host(Index).Entries.clear();
  host(Index).Leading = false;
  auto Opened = openReplicatedLog(openFakeFolder(host(Index).Disk), Options,
                                  host(Index).Time, handlersFor(Index));
  if (!Opened)
    return tl::unexpected(Opened.error());
  host(Index).Log = std::move(*Opened);
  return {};
}

ReplicatedLogHandlers TestCluster::handlersFor(unsigned Index) {
  Host &Own = host(Index);
  ReplicatedLogHandlers Handlers;
  Handlers.SendToPeer = [this, Index](const std::string &To,
                                      const Bytes &Content) {
    onMessageSent(Index, To, Content);
  };
  Handlers.Committed = [this, &Own](Revision Number, const Bytes &Entry) {
    onCommitted(Own, Number.Number, Entry);
  };
  Handlers.RestoreState = [this, &Own](Revision, const Bytes &State) {
    Own.Entries.clear();
    const auto Decoded = detail::Json::from_cbor(State);
    for (const auto &Item : Decoded)
      onCommitted(Own, Item[0].get<std::uint64_t>(), Item[1].get_binary());
    return Expected<void>();
  };
  Handlers.CaptureState = [&Own] {
    auto Array = detail::Json::array();
    for (const auto &[Number, Entry] : Own.Entries)
      Array.push_back(
          detail::Json::array({Number, detail::Json::binary(Entry)}));
    return detail::Json::to_cbor(Array);
  };
  Handlers.LeadershipChanged = [&Own](bool Leading) { Own.Leading = Leading; };
  Handlers.StorageFailed = [&Own](const Error &) { ++Own.StorageFailures; };
  return Handlers;
}

void TestCluster::kill(unsigned Index) {
  host(Index).Log.reset();
  host(Index).Disk->crash(Random);
}

void TestCluster::replaceDisk(unsigned Index) {
  host(Index).Log.reset();
  host(Index).StorageId.clear();
  host(Index).Disk = std::make_shared<FakeDisk>();
}

void TestCluster::setIsolated(unsigned Index, bool Isolated) {
  if (Isolated)
    IsolatedHosts.insert(Index);
  else
    IsolatedHosts.erase(Index);
}

/// Checks that a host syncs its disk before it sends a message, checks the
/// message, and schedules its delivery.
void TestCluster::onMessageSent(unsigned From, const std::string &To,
                                const Bytes &Content) {
  ++MessagesSent;
  BytesSent += Content.size();
  if (!host(From).Disk->logSynced())
    Violation = host(From).Name + " sent a message before its disk was synced";
  checkMessage(From, Content);
  std::uniform_real_distribution<double> Chance(0, 1);
  for (unsigned Index = 0; Index < count(); ++Index) {
    if (host(Index).Name != To || IsolatedHosts.contains(From) ||
        IsolatedHosts.contains(Index))
      continue;
    const unsigned Copies = Chance(Random) < Duplication ? 2 : 1;
    for (unsigned Copy = 0; Copy < Copies; ++Copy) {
      const auto Range =
          static_cast<std::uint64_t>((DelayMax - DelayMin).count()) + 1;
      const auto Delay = DelayMin + std::chrono::microseconds(Random() % Range);
      if (Chance(Random) >= Loss)
        InFlight.emplace(Now + Delay, Packet{From, Index, Content});
    }
  }
}

/// Checks that no two hosts lead in the same term.
void TestCluster::checkMessage(unsigned From, const Bytes &Content) {
  const auto Decoded = decodeMessage(Content);
  if (!Decoded) {
    Violation = "a host sent a message that can't be decoded";
    return;
  }
  host(From).StorageId = Decoded->FromStorageId;
  if (!std::holds_alternative<AppendRequest>(Decoded->Body))
    return;
  const std::string Sender = host(From).Name + Decoded->FromStorageId;
  if (Leaders.emplace(Decoded->InTerm, Sender).first->second != Sender)
    Violation = "two leaders in term " + std::to_string(Decoded->InTerm);
}

void TestCluster::onCommitted(Host &Target, std::uint64_t Revision,
                              const Bytes &Entry) {
  if (!Target.Entries.empty() && Target.Entries.rbegin()->first >= Revision)
    Violation = Target.Name + " committed entries out of order";
  Target.Entries[Revision] = Entry;
  if (CommittedEntries.emplace(Revision, Entry).first->second != Entry)
    Violation = "committed entry " + std::to_string(Revision) + " changed";
}

/// Checks that every host that may answer reads has exactly the entries that
/// were committed on any host.
void TestCluster::checkReads() {
  for (const auto &Each : Hosts) {
    if (!Each->Log || !Each->Log->leaseHeld())
      continue;
    if (Each->Entries != CommittedEntries)
      Violation = Each->Name + " would answer reads with outdated data";
  }
}

void TestCluster::run(std::chrono::milliseconds Time,
                      std::chrono::milliseconds Step) {
  for (const TimePoint End = Now + Time; Now < End;) {
    Now += Step;
    for (const auto &Each : Hosts)
      Each->Time.advance(
          std::chrono::duration_cast<Duration>(Step * Each->Rate));
    while (!InFlight.empty() && InFlight.begin()->first <= Now) {
      const Packet Next = std::move(InFlight.begin()->second);
      InFlight.erase(InFlight.begin());
      if (host(Next.To).Log && !IsolatedHosts.contains(Next.To))
        host(Next.To).Log->receive(host(Next.From).Name, Next.Content);
      checkReads();
    }
    for (const auto &Each : Hosts) {
      if (Each->Log)
        Each->Log->tick();
    }
    checkReads();
    if (AfterStep)
      AfterStep();
  }
}

bool TestCluster::runUntil(const std::function<bool()> &Done) {
  for (auto Left = 10000ms; Left > 0ms && !Done(); Left -= 5ms)
    run(5ms);
  return Done();
}

unsigned TestCluster::leader() const {
  for (unsigned Index = 0; Index < count(); ++Index) {
    if (Hosts[Index]->Log && Hosts[Index]->Log->leaseHeld())
      return Index;
  }
  return count();
}

std::uint64_t TestCluster::commit(const std::string &Text) {
  std::uint64_t Number = 0;
  (void)runUntil([&] {
    const unsigned LeaderIndex = leader();
    if (LeaderIndex == count())
      return false;
    if (Number == 0) {
      const auto Proposed = host(LeaderIndex).Log->propose(bytesOf(Text));
      Number = Proposed ? Proposed->Number : 0;
    }
    return host(LeaderIndex).Entries.contains(Number);
  });
  return Number;
}

bool TestCluster::converged() const {
  const unsigned LeaderIndex = leader();
  if (LeaderIndex == count())
    return false;
  const auto Members = Hosts[LeaderIndex]->Log->members();
  const auto Voters = std::count_if(Members.begin(), Members.end(),
                                    [](const Member &M) { return M.Voter; });
  return Voters == count() &&
         std::all_of(Hosts.begin(), Hosts.end(), [this](const auto &Other) {
           return Other->Log && Other->Entries == CommittedEntries;
         });
}

} // namespace jasminearch::consensus::testing
