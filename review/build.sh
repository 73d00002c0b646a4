#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of all cases, after the build of the deploy file, whose jar has the JSON library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
find review -path review/target -prune -o -name '*.java' -print > review/target/sources.txt
javac -nowarn -encoding UTF-8 -cp target/quartzgw.jar -d review/target/classes @review/target/sources.txt
