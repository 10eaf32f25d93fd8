#!/bin/sh
# Builds the programs of the cases, and those of entries that are no cases, with all stand-ins, into
# target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for folder in review/[1-5]; do
    [ -f "$folder/main.go" ] || continue
    go build -o "target/review/case${folder#review/}" "./$folder"
done
for folder in review/more/*; do
    [ -f "$folder/main.go" ] || continue
    go build -o "target/review/${folder#review/more/}" "./$folder"
done
