"""Entry point of ``python3 -m bramleyspread_daemon``."""

import sys

from bramleyspread_daemon._launch import main

if __name__ == "__main__":
    sys.exit(main())
