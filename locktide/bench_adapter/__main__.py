"""Runs the adapter on standard input and output."""

import sys

from locktide.bench_adapter.adapter import main

sys.exit(main())
