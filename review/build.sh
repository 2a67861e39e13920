#!/bin/sh
# Builds the stand-ins and the checks of all cases into review/build. Needs g++ and nothing else.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for folder in [0-9]; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "build/case$folder" common/*.cpp "$folder"/*.cpp
done
