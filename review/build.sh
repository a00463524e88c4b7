#!/usr/bin/env bash
# Builds every stand-in that the review's scripts start, into target/review/.
# The programs under test are built by the deploy file's command before.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -pthread -I/usr/include/jsoncpp "$source" \
    -ljsoncpp -o "target/review/$name"
done
