#include "standins/lib/tally.h"
#include <fstream>
#include <iostream>

/// Reads the record files of callers and upstreams and prints the totals as one
/// JSON object. Exits with 0 if every promise held, 1 if not, and 2
/// if a file can't be read or parsed. With --unplanned as the first argument,
/// broken lines are allowed.
int main(int Argc, char **Argv) {
  standins::RecordTotals Totals;
  const bool AllowBrokenLines =
      Argc > 1 && std::string(Argv[1]) == "--unplanned";
  for (int I = AllowBrokenLines ? 2 : 1; I < Argc; ++I) {
    std::ifstream In(Argv[I]);
    if (!In) {
      std::cerr << Argv[I] << ": cannot open the record file\n";
      return 2;
    }
    std::string Line;
    while (std::getline(In, Line)) {
      try {
        addRecord(Totals, nlohmann::json::parse(Line));
      } catch (const nlohmann::json::exception &Failure) {
        std::cerr << Argv[I] << ": " << Failure.what() << '\n';
        return 2;
      }
    }
  }
  std::cout << summary(Totals).dump() << '\n';
  return allPromisesHold(Totals, AllowBrokenLines) ? 0 : 1;
}
