#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the edge node: their stand-ins, with the JDK alone.
set -e
cd "$(dirname "$0")/.."
out=review/lib2/target
rm -rf "$out"
mkdir -p "$out"
javac -encoding UTF-8 --release 17 -nowarn -d "$out" review/lib2/*.java review/[6-9]/*.java review/10/*.java
