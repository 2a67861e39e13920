#!/bin/bash
# Builds what the scripts of the second review start besides the gateway: the judge of each case. The stand-ins are in
# Python 3 (review/support/bench.py) and need no build. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
mkdir -p ../build/review-2
for source in [6-9]/judge.cpp 10/judge.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -o "../build/review-2/judge-${source%%/*}" "$source"
done
