#!/bin/sh
# Builds the program that plays the scripts of the review: stand-ins of the platform, executors and callers. It has no
# dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/drill review/main.rs
