#!/bin/sh
# Builds the stand-ins of the review, from the root or anywhere.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-driver ./review/driver
