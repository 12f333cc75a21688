#!/bin/bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec bash "$here/../common/run" TwiceRunTest "$here"
