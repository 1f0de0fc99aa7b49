#!/bin/sh
# Builds the stand-ins that the cases start: store, servers and clients in one
# program. Run it in the repository's root after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-world ./review/.world
