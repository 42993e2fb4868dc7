#!/bin/sh
# Plays this case with the stand-ins of review/standin; TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/release/rattand ] && [ -x target/review/standin ] || exit 2
exec target/review/standin drain "$folder"
