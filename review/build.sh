#!/bin/bash
# Builds the stand-ins and the cases; needs the JDK alone. The build of the deploy file has to be done before a case runs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -encoding UTF-8 -d target/classes common/review/*.java ./[0-9]/*.java
