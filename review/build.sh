#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. They need no package but Go's own.
set -euo pipefail
cd "$(dirname "$0")/platform"
mkdir -p ../../target
go build -o ../../target/review-standin .
