#!/bin/sh
# Runs case 8; TROUBLE=0 plays it without the disruption. Needs the build of the deploy file and review/build-2.sh.
command -v java > /dev/null || exit 2
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -f target/bitternpulley.jar ] && [ -f target/review-2/Case8.class ] || exit 2
exec java -Xmx512m -cp target/review-2 Case8 "$folder"
