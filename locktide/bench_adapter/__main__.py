import sys

from locktide.bench_adapter.adapter import main

sys.exit(main())
