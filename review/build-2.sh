#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/. They need no package but Go's own.
set -euo pipefail
cd "$(dirname "$0")/second/platform"
mkdir -p ../../../target
GOFLAGS= GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../../target/review-standin-2 .
