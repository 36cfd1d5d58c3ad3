#!/bin/sh
# Builds what the cases 6 to 10 start beside the program itself. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/stand-2/bin
go build -o review/stand-2/bin/stand-2 ./review/stand-2
