#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standins-2/main.rs
