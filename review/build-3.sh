#!/usr/bin/env bash
# Builds the stand-ins of case 13, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin-3 ./review/standin-3
