#!/bin/sh
# Builds what the scripts start besides the build of the deploy file. The stand-ins are Python programs, which need
# no build, so this only checks that they can be started.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; sys.exit(sys.version_info < (3, 11))'
for file in common/*.py [0-9]/*.py; do
    [ -e "$file" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
cd ..
[ -x target/release/lemonusher-front ] && [ -x target/release/lemonusher ]
