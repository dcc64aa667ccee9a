#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file, from any folder.
# The stand-ins are Python of the standard library and fetch nothing; cases 9 and 10 need no more. Cases 6 to 8 start
# `locktide serve`, which needs what the project itself names under `cli`. Where that is lacking it is fetched, as by the
# build of the deploy file; where it cannot be had, these three exit with 2.
cd "$(dirname "$0")/.." || exit 2
if ! .venv/bin/python -c "import click, msgspec, structlog" 2>/dev/null || ! test -x .venv/bin/locktide; then
    .venv/bin/pip -q install --disable-pip-version-check -e ".[cli]" ||
        echo "review/build-2.sh: locktide serve is not to be had, so cases 6 to 8 cannot run" >&2
fi
exec .venv/bin/python -m compileall -q review/standins-2 review/6 review/7 review/8 review/9 review/10
