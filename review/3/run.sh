#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
[ -f "$root/target/bitternpulley.jar" ] && [ -f "$root/review/target/LargeHeads.class" ] || exit 2
exec java -Xmx256m -cp "$root/review/target" LargeHeads "$root" "$here/record.txt"
