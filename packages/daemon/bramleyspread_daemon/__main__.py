"""Entry point of ``python3 -m bramleyspread_daemon``."""

import sys

from bramleyspread_daemon._main import main

sys.exit(main())
