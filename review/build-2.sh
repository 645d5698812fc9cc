#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
Compiler=${CXX:-g++}
"$Compiler" -std=c++20 -O2 -Wall -Wextra -c review/standins-2.cpp \
  -o target/review-2/standins-2.o
for Main in review/{6,7,8,9,10}/main.cpp; do
  [ -e "$Main" ] || continue
  Number=$(basename "$(dirname "$Main")")
  "$Compiler" -std=c++20 -O2 -Wall -Wextra "$Main" \
    target/review-2/standins-2.o -pthread -o "target/review-2/case-$Number"
done
