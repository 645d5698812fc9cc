#include "jasminearch/consensus/log_entry.h"
#include <cassert>

namespace jasminearch::consensus {

LogIndex lastIndex(const EntryLog &Log) {
  return Log.BaseIndex + Log.Entries.size();
}

Term lastTerm(const EntryLog &Log) {
  return Log.Entries.empty() ? Log.BaseTerm : Log.Entries.back().InTerm;
}

bool containsIndex(const EntryLog &Log, LogIndex Index) {
  return Index >= Log.BaseIndex && Index <= lastIndex(Log);
}

Term termAt(const EntryLog &Log, LogIndex Index) {
  assert(containsIndex(Log, Index));
  return Index == Log.BaseIndex ? Log.BaseTerm : entryAt(Log, Index).InTerm;
}

const LogEntry &entryAt(const EntryLog &Log, LogIndex Index) {
  assert(Index > Log.BaseIndex && Index <= lastIndex(Log));
  return Log.Entries[Index - Log.BaseIndex - 1];
}

void truncateAfter(EntryLog &Log, LogIndex Index) {
  assert(Index >= Log.BaseIndex);
  while (lastIndex(Log) > Index)
    Log.Entries.pop_back();
}

void discardThrough(EntryLog &Log, LogIndex Index) {
  assert(containsIndex(Log, Index));
  while (Log.BaseIndex < Index) {
    Log.BaseTerm = Log.Entries.front().InTerm;
    Log.Entries.pop_front();
    ++Log.BaseIndex;
  }
}

} // namespace jasminearch::consensus
