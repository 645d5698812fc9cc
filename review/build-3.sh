#!/usr/bin/env bash
# Builds the scenarios of review/11 to review/15, each with the stand-ins in
# review/standins-3, into target/review-3/. Run after the build of the deploy
# file. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
Options=(-std=c++20 -O1 -Wall -Wextra -Werror -pthread)
g++ "${Options[@]}" -c review/standins-3/deployment.cpp \
  -o target/review-3/deployment.o
for Source in review/1[1-5]/scenario.cpp; do
  [ -e "$Source" ] || continue
  Case=$(basename "$(dirname "$Source")")
  g++ "${Options[@]}" "$Source" target/review-3/deployment.o \
    -o "target/review-3/scenario-$Case"
done
