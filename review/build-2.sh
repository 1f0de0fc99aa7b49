#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/cases2 ./review/.cases2
