#!/bin/sh
# Plays case 4; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the trouble out.
cd "$(dirname "$0")/../.." || exit 4
exec java -Xmx256m -cp target/review OldLimits 4
