#!/bin/bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec java -Xmx256m -cp "$folder/../target-2/classes" review2.RestartCase "$folder/../.." "$folder"
