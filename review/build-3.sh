#!/bin/sh
# Builds what the scripts of the third review start beside the release of the daemon. It needs no package.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/review-3 review/standins-3/main.rs
