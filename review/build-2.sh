#!/bin/sh
# Builds the daemon with the command of the deploy file, and the stand-ins and clients of the second review's scripts.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/damaskshelfd
go build -o target/review2-rig ./review/_rig2
