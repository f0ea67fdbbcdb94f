#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 13 into target/. They need no package but Go's own.
set -euo pipefail
cd "$(dirname "$0")/third/platform"
mkdir -p ../../../target
GOFLAGS= GOWORK=off GOPROXY=off go build -buildvcs=false -o ../../../target/review-standin-3 .
