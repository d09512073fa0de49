"""Exit codes of the tool, documented in its help text and docs/OPERATORS.md."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of ``bramleyspread``."""

    #: The command succeeded.
    DONE = 0
    #: Files, settings or arguments are invalid; nothing was changed.
    INVALID = 2
    #: Another change was accepted first; nothing was changed.
    CONFLICT = 3
    #: The control hosts refused the document or order; nothing was changed.
    REJECTED = 4
    #: It is unknown whether the change was accepted; submit the same file, or give the
    #: same order, again.
    UNKNOWN = 5
    #: No control or entry host answered; nothing was changed.
    UNREACHABLE = 6
    #: Accepted, but not in force on every entry host within the time limit.
    NOT_YET_IN_FORCE = 7


EXIT_HELP = """\
exit codes:
  0  done as asked
  2  files, settings or arguments are wrong; nothing was changed
  3  conflict: another change came first; nothing was changed
  4  refused by the control hosts; nothing was changed
  5  unknown whether the change was accepted; submit the same file, or give the same
     order, again
  6  no host answered; nothing was changed
  7  accepted, but not in force on every host within the wait
"""
