#!/usr/bin/env bash
# Builds the stand-ins of the third review. It runs after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-third ./review/third
