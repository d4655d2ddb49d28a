#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file. Needs the JDK only.
set -e
cd "$(dirname "$0")/.."
java_home="${JAVA_HOME:+$JAVA_HOME/bin/}"
mkdir -p target/review-2
"${java_home}javac" -encoding UTF-8 -d target/review-2 review/standins-2/*.java
