#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: their stand-ins, those of the first review that case 10 uses
# (review/lib), and the list service with its command.
set -e
cd "$(dirname "$0")/.."
out=review/lib2/target
rm -rf "$out"
mkdir -p "$out"
javac -encoding UTF-8 --release 17 -nowarn -d "$out" review/lib/*.java review/lib2/*.java review/[6-9]/*.java \
    review/10/*.java
mvn -o -q -f fleet -DskipTests package || mvn -q -f fleet -DskipTests package
