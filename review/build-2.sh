#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10. Run it from anywhere, after the build of deploy/balancer.toml;
# it needs no network: driver2 uses the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-driver2 ./review/driver2
