#!/bin/sh
# Builds the daemon with the command of the deploy file, and the stand-ins and clients of the review's scripts.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/damaskshelfd
go build -o target/review-rig ./review/_rig
