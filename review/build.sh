#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into target/review. Needs nothing but the JDK.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && exec javac -encoding UTF-8 -d target/review review/standins/*.java
