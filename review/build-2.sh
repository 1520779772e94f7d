#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2.
# Run it at the root of the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  c++ -std=c++17 -O1 -Wall -pthread -Ireview/standins-2 \
    -o "target/review-2/case-$number" "$source"
done
