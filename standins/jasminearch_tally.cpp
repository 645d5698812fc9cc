#include "standins/lib/tally.h"
#include <fstream>
#include <iostream>

/// Reads the record files of callers and upstreams and prints the sums as one
/// JSON object. Exit status 0 only if every promise held; 2 for bad input. With
/// --unplanned as the first word, lines may have broken.
int main(int Argc, char **Argv) {
  standins::RecordTotals Totals;
  const bool AllowBrokenLines =
      Argc > 1 && std::string(Argv[1]) == "--unplanned";
  for (int I = AllowBrokenLines ? 2 : 1; I < Argc; ++I) {
    std::ifstream In(Argv[I]);
    if (!In) {
      std::cerr << Argv[I] << ": can't be read\n";
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
