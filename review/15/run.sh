#!/usr/bin/env bash
# A machine is killed right after streams have begun at it: see claim.txt. Writes record.txt;
# exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# does the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
