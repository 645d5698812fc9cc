#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/. They need only a C++
# compiler and the system's C and C++ libraries.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
Flags=(-std=c++20 -O1 -Wall -Wextra -Werror -pthread)
${CXX:-g++} "${Flags[@]}" -c standin.cpp -o build/standin.o
for Source in [1-5]/case.cpp; do
  ${CXX:-g++} "${Flags[@]}" "$Source" build/standin.o \
    -o "build/case-${Source%%/*}"
done
