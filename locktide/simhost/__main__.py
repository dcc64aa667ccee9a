import sys

from locktide.simhost.host import main

sys.exit(main())
