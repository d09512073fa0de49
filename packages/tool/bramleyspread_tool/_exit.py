"""Exit codes of the tool, documented in its help and in docs/OPERATORS.md."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What the shell gets to see."""

    #: Done as asked.
    DONE = 0
    #: Files, settings or arguments are wrong; nothing was changed.
    INVALID = 2
    #: Another change came first; nothing was changed.
    CONFLICT = 3
    #: The control hosts refused the document; nothing was changed.
    REJECTED = 4
    #: Nobody knows whether the change was accepted; submit the same file again.
    UNKNOWN = 5
    #: No control or entry host answered; nothing was changed.
    UNREACHABLE = 6
    #: Accepted, but not in force on every host within the wait.
    NOT_YET_IN_FORCE = 7


EXIT_HELP = """\
exit codes:
  0  done as asked
  2  files, settings or arguments are wrong; nothing was changed
  3  conflict: another change came first; nothing was changed
  4  refused by the control hosts; nothing was changed
  5  unknown whether the change was accepted; submit the same file again
  6  no host answered; nothing was changed
  7  accepted, but not in force on every host within the wait
"""
