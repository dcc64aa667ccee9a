#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file, from any folder.
# The stand-ins are Python of the standard library. `locktide serve` needs what requirements-dev.txt names.
set -e
cd "$(dirname "$0")/.."
if ! .venv/bin/python -c "import click, msgspec, structlog" 2>/dev/null || ! test -x .venv/bin/locktide; then
    .venv/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
fi
.venv/bin/python -m compileall -q locktide review/standins-2
