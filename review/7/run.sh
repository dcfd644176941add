#!/bin/sh
# See claim.txt; TROUBLE=0 plays the same without the outage of the store.
# What was sent, answered and run goes to record.txt beside this file.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../standins-2/play.sh" head_requests "$folder/record.txt"
