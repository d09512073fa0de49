"""Runs a stand-in: ``python -m bramleyspread_standins --help``."""

from bramleyspread_standins._commands import main

if __name__ == "__main__":
    raise SystemExit(main())
