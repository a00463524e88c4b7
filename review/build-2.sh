#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. The node itself comes from the
# build of the deploy file.
set -euo pipefail

cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in chunked_uploads drain_answer_lost chunked_refused \
  crossing_uploads deadly_after_kill; do
  g++ -std=c++20 -O1 -Wall -Wextra -I review $(pkg-config --cflags jsoncpp) \
    "review/$name.cc" -o "target/review-2/$name" \
    $(pkg-config --libs jsoncpp) -pthread
done
