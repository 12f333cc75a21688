#!/bin/bash
# Builds the stand-ins and the cases 6 to 10 into target-2; needs the JDK alone. The build of the deploy file has to be done before a case runs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target-2/classes
echo "*" > target-2/.gitignore
find common-2/src ./*/src -name '*.java' | sort -u > target-2/sources.txt
javac -encoding UTF-8 -d target-2/classes @target-2/sources.txt
