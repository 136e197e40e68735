#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 and 5 start. They need the standard library only,
# so there is nothing to fetch: this checks that Python takes them. The router itself is built by the
# build of the deploy file.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.py 4/*.py 5/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
