"""Lets ``python3 -m bramleyspread_daemon`` run the daemon."""

import sys

from bramleyspread_daemon._main import main

sys.exit(main())
