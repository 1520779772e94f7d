#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
common="review/standins/deployment.cc test/relay/http_peer.cc
  test/relay/store_standin.cc test/relay/target_standin.cc
  test/support/launcher.cc"
objects=""
for source in $common; do
  object="target/review/$(basename "$source" .cc).o"
  ${CXX:-g++} -std=c++17 -O1 -Itest/relay -Itest/support -Ireview/standins \
    -c "$source" -o "$object"
  objects="$objects $object"
done
for source in review/standins/case_*.cc; do
  ${CXX:-g++} -std=c++17 -O1 -Itest/relay -Itest/support -Ireview/standins \
    "$source" $objects -o "target/review/$(basename "$source" .cc)" \
    -lcrypto -lpthread
done
