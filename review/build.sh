#!/bin/sh
# Builds the programs of the cases, with all stand-ins, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/case1 ./review/1
go build -o target/review/case3 ./review/3
go build -o target/review/case4 ./review/4
go build -o target/review/case5 ./review/5
