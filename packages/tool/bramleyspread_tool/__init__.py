"""The operators' command line of bramleyspread."""

from bramleyspread_tool._exit import ExitCode
from bramleyspread_tool._main import main

__all__ = ["ExitCode", "main"]
