#!/bin/sh
# Builds the stand-ins of cases 9 to 13 with the toolchain of the repository. Case 12 uses those of the
# second review.
set -e
cd "$(dirname "$0")/.."
sh review/build-2.sh
mkdir -p target/review-3
rustc --edition 2024 -O review/cases-3.rs -o target/review-3/cases-3
