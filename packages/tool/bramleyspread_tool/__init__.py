"""The bramleyspread command-line tool for operators."""

from bramleyspread_tool._exit import ExitCode
from bramleyspread_tool._main import main

__all__ = ["ExitCode", "main"]
