#!/usr/bin/env bash
# All machines are killed and replicas of a new version come soon after: see claim.txt. Writes record.txt;
# exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# does the same without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
