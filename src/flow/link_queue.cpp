#include "jasminearch/flow/link_queue.h"
#include <algorithm>
#include <cmath>
#include <utility>

namespace jasminearch::flow {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double BitsPerByte = 8;

double bytesIn(const LinkQueue &Q, Seconds Time) {
  return Q.Rate * Time.count();
}

void refill(LinkQueue &Q, TimePoint Now) {
  const Seconds Elapsed = Now - Q.TokensAt;
  if (Elapsed.count() <= 0)
    return;
  Q.TokensAt = Now;
  Q.Tokens = std::min(Q.Tokens + bytesIn(Q, Elapsed), bytesIn(Q, MaxBurstTime));
  Q.ArrivalTokens =
      std::min(Q.ArrivalTokens + ArrivalShare * bytesIn(Q, Elapsed),
               ArrivalShare * bytesIn(Q, ArrivalBurstTime));
}

/// Measures the use of the link in both directions.
void recordUse(LinkQueue &Q, std::size_t Bytes, TimePoint Now) {
  const Seconds Elapsed = Now - Q.UseSince;
  if (Elapsed >= UseInterval) {
    const double Use = static_cast<double>(Q.UseBytes) / Elapsed.count();
    Q.PeakUse = std::max(Q.PeakUse * PeakUseDecay, Use);
    Q.UseSince = Now;
    Q.UseBytes = 0;
  }
  Q.UseBytes += Bytes;
}

void spend(LinkQueue &Q, std::size_t Bytes) {
  Q.BytesLeft += Bytes;
  if (Q.Rate <= 0)
    return;
  Q.Tokens -= static_cast<double>(Bytes);
  recordUse(Q, Bytes, Q.TokensAt);
}

std::size_t linkBytes(const QueuedDatagram &D) {
  return D.Datagram.size() + DatagramOverheadBytes;
}

SendClassState &state(LinkQueue &Q, SendClass Class) {
  return Q.Classes[static_cast<std::size_t>(Class)];
}

void countDrop(LinkQueue &Q, SendClass Class, QueueDrop Reason) {
  ++state(Q, Class).Dropped[static_cast<std::size_t>(Reason)];
}

/// \returns whether a copy of \p D is in \p Waiting.
bool hasCopy(const DatagramFifo &Waiting, const QueuedDatagram &D) {
  return D.Repeats &&
         std::any_of(Waiting.begin(), Waiting.end(),
                     [&D](const QueuedDatagram &Other) {
                       return Other.Repeats && Other.Sequence == D.Sequence &&
                              Other.DataBytes == D.DataBytes &&
                              Other.To == D.To && Other.Flow == D.Flow;
                     });
}

/// \returns the queue for \p D.
DatagramFifo &fifoOf(LinkQueue &Q, const QueuedDatagram &D) {
  if (D.Class == SendClass::Control)
    return Q.Control;
  if (D.Class == SendClass::Small)
    return Q.Small;
  const auto [It, New] = Q.Bulk.try_emplace(D.Flow);
  if (New)
    Q.Round.push_back(D.Flow);
  return It->second.Waiting;
}

QueuedDatagram takeFront(LinkQueue &Q, DatagramFifo &Waiting) {
  QueuedDatagram D = std::move(Waiting.front());
  Waiting.pop_front();
  SendClassState &S = state(Q, D.Class);
  S.Bytes -= linkBytes(D);
  --S.Datagrams;
  return D;
}

/// Removes what is too old from the front of a queue.
void dropOld(LinkQueue &Q, DatagramFifo &Waiting, TimePoint Now) {
  while (!Waiting.empty()) {
    const SendClass Class = Waiting.front().Class;
    if (Now - Waiting.front().QueuedAt <=
        MaxQueueTime[static_cast<std::size_t>(Class)])
      return;
    takeFront(Q, Waiting);
    countDrop(Q, Class, QueueDrop::TooOld);
  }
}

/// Turns to the next bulk flow whose deficit covers its first datagram.
/// \returns null if no bulk datagram waits.
DatagramFifo *nextBulk(LinkQueue &Q, TimePoint Now) {
  while (!Q.Round.empty()) {
    const FlowKey Flow = Q.Round.front();
    const auto It = Q.Bulk.find(Flow);
    BulkFlow &F = It->second;
    dropOld(Q, F.Waiting, Now);
    if (F.Waiting.empty()) {
      Q.Bulk.erase(It);
      Q.Round.pop_front();
      continue;
    }
    if (F.Deficit >= linkBytes(F.Waiting.front()))
      return &F.Waiting;
    F.Deficit += RoundRobinQuantum;
    Q.Round.pop_front();
    Q.Round.push_back(Flow);
  }
  return nullptr;
}

/// \returns the queue of the class that has the next datagram; null if none.
DatagramFifo *nextOf(LinkQueue &Q, SendClass Class, TimePoint Now) {
  if (Class == SendClass::Bulk)
    return nextBulk(Q, Now);
  DatagramFifo &Waiting = Class == SendClass::Control ? Q.Control : Q.Small;
  dropOld(Q, Waiting, Now);
  return Waiting.empty() ? nullptr : &Waiting;
}

/// Selects the most urgent class, unless a less urgent one hasn't had its
/// guaranteed share.
DatagramFifo *selectFifo(LinkQueue &Q, TimePoint Now) {
  DatagramFifo *Most = nullptr;
  for (std::size_t I = SendClassCount; I-- > 0;) {
    DatagramFifo *Fifo = nextOf(Q, static_cast<SendClass>(I), Now);
    if (!Fifo)
      continue;
    Most = Fifo;
    if (I > 0 &&
        Q.Classes[I].Credit >= static_cast<double>(linkBytes(Fifo->front())))
      return Fifo;
  }
  return Most;
}

void addDelay(SendClassState &S, Duration Delay) {
  constexpr int AverageWindow = 16;
  S.Delay += (duration_cast<std::chrono::microseconds>(Delay) - S.Delay) /
             AverageWindow;
}

/// Gives credit to the less urgent classes that wait, and takes it from the
/// class that sends.
void updateCredits(LinkQueue &Q, SendClass Sent, std::size_t Bytes) {
  for (std::size_t I = 1; I < SendClassCount; ++I) {
    SendClassState &S = Q.Classes[I];
    if (S.Datagrams == 0)
      S.Credit = 0;
    else
      S.Credit += GuaranteedShare[I] * static_cast<double>(Bytes);
    if (static_cast<SendClass>(I) == Sent)
      S.Credit = std::max(0.0, S.Credit - static_cast<double>(Bytes));
  }
}

bool mayLeave(const LinkQueue &Q) { return Q.Rate <= 0 || Q.Tokens > 0; }

} // namespace

void setLinkRate(LinkQueue &Q, double LinkRate) {
  const bool Starts = Q.Rate <= 0;
  Q.PacedFor = LinkRate;
  Q.Rate = LinkRate / BitsPerByte * PacedShare;
  if (!Starts)
    return;
  Q.Tokens = bytesIn(Q, MaxBurstTime);
  Q.ArrivalTokens = ArrivalShare * bytesIn(Q, ArrivalBurstTime);
}

void recordArrival(LinkQueue &Q, std::size_t Bytes, TimePoint Now) {
  const std::size_t OnLink = Bytes + DatagramOverheadBytes;
  Q.BytesArrived += OnLink;
  if (Q.Rate <= 0)
    return;
  refill(Q, Now);
  recordUse(Q, OnLink, Now);
  const auto Size = static_cast<double>(OnLink);
  if (Q.ArrivalTokens < Size) {
    Q.BytesNotCounted += OnLink;
    return;
  }
  Q.ArrivalTokens -= Size;
  Q.Tokens -= Size;
}

bool isEmpty(const LinkQueue &Q) {
  return std::all_of(Q.Classes.begin(), Q.Classes.end(),
                     [](const SendClassState &S) { return S.Datagrams == 0; });
}

bool takeTokens(LinkQueue &Q, std::size_t Bytes, TimePoint Now) {
  refill(Q, Now);
  if (!isEmpty(Q) || !mayLeave(Q))
    return false;
  spend(Q, Bytes + DatagramOverheadBytes);
  return true;
}

void enqueue(LinkQueue &Q, QueuedDatagram D, TimePoint Now) {
  SendClassState &S = state(Q, D.Class);
  if (S.Bytes + linkBytes(D) > MaxQueueBytes[static_cast<std::size_t>(D.Class)])
    return countDrop(Q, D.Class, QueueDrop::QueueFull);
  DatagramFifo &Waiting = fifoOf(Q, D);
  if (hasCopy(Waiting, D))
    return countDrop(Q, D.Class, QueueDrop::Copy);
  D.QueuedAt = Now;
  S.Bytes += linkBytes(D);
  ++S.Datagrams;
  ++S.Queued;
  Waiting.push_back(std::move(D));
}

std::optional<QueuedDatagram> dequeue(LinkQueue &Q, TimePoint Now) {
  refill(Q, Now);
  if (isEmpty(Q) || !mayLeave(Q))
    return std::nullopt;
  DatagramFifo *Fifo = selectFifo(Q, Now);
  if (!Fifo)
    return std::nullopt;
  QueuedDatagram D = takeFront(Q, *Fifo);
  const std::size_t Size = linkBytes(D);
  if (D.Class == SendClass::Bulk)
    Q.Bulk.find(D.Flow)->second.Deficit -= Size;
  spend(Q, Size);
  updateCredits(Q, D.Class, Size);
  SendClassState &S = state(Q, D.Class);
  ++S.Sent;
  addDelay(S, Now - D.QueuedAt);
  return D;
}

std::chrono::microseconds backlog(const LinkQueue &Q) {
  if (Q.Rate <= 0)
    return {};
  std::size_t Bytes = 0;
  for (const SendClassState &S : Q.Classes)
    Bytes += S.Bytes;
  return duration_cast<std::chrono::microseconds>(
      Seconds(static_cast<double>(Bytes) / Q.Rate));
}

std::optional<milliseconds> timeToNext(const LinkQueue &Q, TimePoint Now) {
  if (isEmpty(Q))
    return std::nullopt;
  if (mayLeave(Q))
    return milliseconds{0};
  const Seconds Missing(-Q.Tokens / Q.Rate);
  const Seconds Left = Missing - Seconds(Now - Q.TokensAt);
  const milliseconds Rounded(
      static_cast<std::int64_t>(std::ceil(Left.count() * 1000)));
  return std::max(Rounded, MinPaceInterval);
}

} // namespace jasminearch::flow
