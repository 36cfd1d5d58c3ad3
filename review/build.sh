#!/bin/sh
# Builds the stand-ins and the player of the cases. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/ ./review/stand
