"""Entry point of ``python3 -m bramleyspread_daemon``."""

import sys

from bramleyspread_daemon._reload_signal import record_reload_signals

if __name__ == "__main__":
    record_reload_signals()
    from bramleyspread_daemon._main import main

    sys.exit(main())
