#include "consensus_fakes.h"
#include "jasminearch/consensus/detail/cbor.h"
#include <algorithm>

namespace jasminearch::consensus::testing {

using namespace std::chrono_literals;

void FakeDisk::crash(std::mt19937_64 &Random) {
  Names = DurableNames;
  for (auto &[Name, Content] : Names) {
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
  const auto At = Names.find("log");
  return At == Names.end() || At->second->Current == At->second->Durable;
}

std::shared_ptr<FakeDisk> FakeDisk::copy() const {
  auto Copy = std::make_shared<FakeDisk>();
  for (const auto &[Name, Content] : Names)
    Copy->Names[Name] = std::make_shared<File>(*Content);
  Copy->DurableNames = Copy->Names;
  return Copy;
}

namespace {

class FakeFolder final : public DataFolder {
public:
  explicit FakeFolder(std::shared_ptr<FakeDisk> Disk) : Disk(std::move(Disk)) {}

  Expected<std::vector<std::string>> list() override {
    std::vector<std::string> Listed;
    for (const auto &[Name, Content] : Disk->Names)
      Listed.push_back(Name);
    return Listed;
  }

  Expected<Bytes> read(const std::string &Name) override {
    if (!Disk->Names.contains(Name))
      return fail(ErrorCode::StorageUnavailable, Name);
    return Disk->Names[Name]->Current;
  }

  Expected<void> create(const std::string &Name,
                        const Bytes &Content) override {
    Disk->Names[Name] = std::make_shared<FakeDisk::File>();
    return append(Name, Content);
  }

  Expected<void> append(const std::string &Name,
                        const Bytes &Content) override {
    const bool Fails = operationFails() || Disk->Full;
    const auto Length = Fails ? Content.size() / 2 : Content.size();
    auto &Current = Disk->Names.at(Name)->Current;
    Current.insert(Current.end(), Content.begin(),
                   Content.begin() + static_cast<std::ptrdiff_t>(Length));
    return outcome(Fails);
  }

  Expected<void> truncate(const std::string &Name,
                          std::uint64_t Size) override {
    Disk->Names.at(Name)->Current.resize(Size);
    return {};
  }

  Expected<void> sync(const std::string &Name) override {
    if (operationFails())
      return outcome(true);
    auto &[Current, Durable] = *Disk->Names.at(Name);
    Durable = Current;
    return {};
  }

  Expected<void> rename(const std::string &From,
                        const std::string &To) override {
    if (operationFails())
      return outcome(true);
    Disk->Names[To] = Disk->Names.at(From);
    Disk->Names.erase(From);
    return {};
  }

  Expected<void> remove(const std::string &Name) override {
    Disk->Names.erase(Name);
    return {};
  }

  Expected<void> syncFolder() override {
    Disk->DurableNames = Disk->Names;
    return {};
  }

private:
  bool operationFails() { return ++Disk->Operations == Disk->FailAt; }

  static Expected<void> outcome(bool Fails) {
    if (Fails)
      return fail(ErrorCode::StorageFull, "no room");
    return {};
  }

  std::shared_ptr<FakeDisk> Disk;
};

} // namespace

std::unique_ptr<DataFolder> openFakeFolder(std::shared_ptr<FakeDisk> Disk) {
  return std::make_unique<FakeFolder>(std::move(Disk));
}

Exchange::Exchange(unsigned Count, std::uint64_t Seed,
                   std::uint64_t EntriesPerSnapshot)
    : Random(Seed), EntriesPerSnapshot(EntriesPerSnapshot) {
  for (unsigned At = 0; At < Count; ++At)
    addHost();
  for (unsigned At = 0; At < Count; ++At)
    (void)start(At, true);
}

void Exchange::addHost() {
  Hosts.push_back(std::make_unique<Host>());
  Hosts.back()->Name = "control-" + std::to_string(Hosts.size());
}

Expected<void> Exchange::start(unsigned At, bool Bootstrap) {
  ReplicatedLogOptions Options;
  Options.Cluster = "test";
  Options.Host = host(At).Name;
  for (const auto &Other : Hosts)
    Options.Hosts.push_back(Other->Name);
  Options.Bootstrap = Bootstrap;
  Options.Seed = Random();
  Options.EntriesPerSnapshot = EntriesPerSnapshot;
  host(At).Entries.clear();
  host(At).Leading = false;
  auto Opened = openReplicatedLog(openFakeFolder(host(At).Disk), Options,
                                  host(At).Time, handlersFor(At));
  if (!Opened)
    return tl::unexpected(Opened.error());
  host(At).Log = std::move(*Opened);
  return {};
}

ReplicatedLogHandlers Exchange::handlersFor(unsigned At) {
  Host &Own = host(At);
  ReplicatedLogHandlers Handlers;
  Handlers.SendToPeer = [this, At](const std::string &To,
                                   const Bytes &Content) {
    sent(At, To, Content);
  };
  Handlers.Committed = [this, &Own](Revision Number, const Bytes &Entry) {
    committed(Own, Number.Number, Entry);
  };
  Handlers.RestoreState = [this, &Own](Revision, const Bytes &State) {
    Own.Entries.clear();
    const auto Decoded = detail::Json::from_cbor(State);
    for (const auto &Item : Decoded)
      committed(Own, Item[0].get<std::uint64_t>(), Item[1].get_binary());
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

void Exchange::kill(unsigned At) {
  host(At).Log.reset();
  host(At).Disk->crash(Random);
}

void Exchange::loseDisk(unsigned At) {
  host(At).Log.reset();
  host(At).StorageId.clear();
  host(At).Disk = std::make_shared<FakeDisk>();
}

void Exchange::cut(unsigned At, bool Cut) {
  if (Cut)
    CutOff.insert(At);
  else
    CutOff.erase(At);
}

/// Checks sync before acknowledgement and election safety on what leaves.
void Exchange::sent(unsigned From, const std::string &To,
                    const Bytes &Content) {
  ++MessagesSent;
  BytesSent += Content.size();
  if (!host(From).Disk->logSynced())
    Violation = host(From).Name + " sent before its disk was synced";
  checkContent(From, Content);
  std::uniform_real_distribution<double> Chance(0, 1);
  for (unsigned At = 0; At < count(); ++At) {
    if (host(At).Name != To || CutOff.contains(From) || CutOff.contains(At))
      continue;
    const unsigned Copies = Chance(Random) < Duplication ? 2 : 1;
    for (unsigned Copy = 0; Copy < Copies; ++Copy) {
      const auto Range =
          static_cast<std::uint64_t>((DelayMax - DelayMin).count()) + 1;
      const auto Delay = DelayMin + std::chrono::microseconds(Random() % Range);
      if (Chance(Random) >= Loss)
        UnderWay.emplace(Now + Delay, Packet{From, At, Content});
    }
  }
}

void Exchange::checkContent(unsigned From, const Bytes &Content) {
  const auto Decoded = decodeMessage(Content);
  if (!Decoded) {
    Violation = "sent a message that can't be decoded";
    return;
  }
  host(From).StorageId = Decoded->FromStorageId;
  if (!std::holds_alternative<AppendRequest>(Decoded->Body))
    return;
  const std::string Sender = host(From).Name + Decoded->FromStorageId;
  if (Leaders.emplace(Decoded->InTerm, Sender).first->second != Sender)
    Violation = "two leaders in term " + std::to_string(Decoded->InTerm);
}

void Exchange::committed(Host &At, std::uint64_t Revision, const Bytes &Entry) {
  if (!At.Entries.empty() && At.Entries.rbegin()->first >= Revision)
    Violation = At.Name + " committed out of order";
  At.Entries[Revision] = Entry;
  if (Accepted.emplace(Revision, Entry).first->second != Entry)
    Violation = "accepted entry " + std::to_string(Revision) + " changed";
}

/// A host that may answer reads must know everything accepted anywhere, and
/// must have skipped none of it.
void Exchange::checkReads() {
  for (const auto &At : Hosts) {
    if (!At->Log || !At->Log->leaseHeld())
      continue;
    if (At->Entries != Accepted)
      Violation = At->Name + " would answer an outdated read";
  }
}

void Exchange::run(std::chrono::milliseconds Time,
                   std::chrono::milliseconds Step) {
  for (const TimePoint End = Now + Time; Now < End;) {
    Now += Step;
    for (const auto &At : Hosts)
      At->Time.advance(std::chrono::duration_cast<Duration>(Step * At->Rate));
    while (!UnderWay.empty() && UnderWay.begin()->first <= Now) {
      const Packet Next = std::move(UnderWay.begin()->second);
      UnderWay.erase(UnderWay.begin());
      if (host(Next.To).Log && !CutOff.contains(Next.To))
        host(Next.To).Log->receive(host(Next.From).Name, Next.Content);
      checkReads();
    }
    for (const auto &At : Hosts) {
      if (At->Log)
        At->Log->tick();
    }
    checkReads();
    if (AfterStep)
      AfterStep();
  }
}

bool Exchange::runUntil(const std::function<bool()> &Done) {
  for (auto Left = 10000ms; Left > 0ms && !Done(); Left -= 5ms)
    run(5ms);
  return Done();
}

unsigned Exchange::leader() const {
  for (unsigned At = 0; At < count(); ++At) {
    if (Hosts[At]->Log && Hosts[At]->Log->leaseHeld())
      return At;
  }
  return count();
}

std::uint64_t Exchange::commit(const std::string &Text) {
  std::uint64_t Number = 0;
  (void)runUntil([&] {
    const unsigned At = leader();
    if (At == count())
      return false;
    if (Number == 0) {
      const auto Proposed = host(At).Log->propose(bytesOf(Text));
      Number = Proposed ? Proposed->Number : 0;
    }
    return host(At).Entries.contains(Number);
  });
  return Number;
}

bool Exchange::settled() const {
  const unsigned At = leader();
  if (At == count())
    return false;
  const auto Members = Hosts[At]->Log->members();
  const auto Voters = std::count_if(Members.begin(), Members.end(),
                                    [](const Member &M) { return M.Voter; });
  return Voters == count() &&
         std::all_of(Hosts.begin(), Hosts.end(), [this](const auto &Other) {
           return Other->Log && Other->Entries == Accepted;
         });
}

} // namespace jasminearch::consensus::testing
