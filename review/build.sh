#!/bin/sh
# Builds what the cases start: the stand-ins here, then the edge node, and the list service with its command.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/target
javac -d review/target review/lib/*.java review/[123]/*.java || exit 1
mvn -o -q -f fleet -DskipTests package || mvn -q -f fleet -DskipTests package
