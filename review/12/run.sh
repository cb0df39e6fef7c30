#!/bin/sh
# Plays case 12. TROUBLE=0 plays it without the disruption. Exit status: 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/baobabstack ] && [ -x target/standin3 ] || { echo "build first: the build line of deploy/system.toml, then review/build-3.sh" >&2; exit 2; }
exec target/standin3 reused review/12
