#!/bin/sh
# Runs the case; review/build-2.sh must have been run. Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/Frozen.class ] && [ -f target/platform/sniperoute-platform.jar ] || { echo "build first"; exit 2; }
exec "${JAVA_HOME:+$JAVA_HOME/bin/}java" -Xmx768m -cp target/review-2 Frozen review/7/record.txt
