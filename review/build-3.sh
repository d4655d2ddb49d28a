#!/usr/bin/env bash
# Builds the stand-ins of the third review with the JDK alone, into target/review-3.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/standins-3/*.java
