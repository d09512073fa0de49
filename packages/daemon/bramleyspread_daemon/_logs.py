"""Logs by loguru, each line with the step and the peer it is about."""

from __future__ import annotations

import logging
import sys

from loguru import logger

from bramleyspread_daemon._log_lines import LineSink
from bramleyspread_daemon._settings import LogSettings

#: The file that stands for JSON lines on standard output.
STANDARD_OUTPUT = "-"

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} host={extra[host]} "
    "step={extra[step]} peer={extra[peer]} {message}"
)


def set_up_logs(settings: LogSettings, host: str) -> None:
    """Send the process's logs where its settings say.

    :param settings: level and file.
    :param host: this host's name.
    """
    # The event loop warns of every timeout that came late; the process knows.
    logging.getLogger("curio").setLevel(logging.ERROR)
    logger.remove()
    logger.configure(extra={"host": host, "step": "-", "peer": "-"})
    if settings.file == STANDARD_OUTPUT:
        logger.add(LineSink(1), level=settings.level, format="{message}")
        return
    sink = settings.file if settings.file is not None else sys.stderr
    logger.add(
        sink,
        level=settings.level,
        format=_FORMAT,
        backtrace=False,
        diagnose=False,
    )
