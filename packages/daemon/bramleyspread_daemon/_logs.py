"""Configures loguru; each log line names the step and the peer it is about."""

from __future__ import annotations

import logging
import sys

from loguru import logger

from bramleyspread_daemon._log_lines import JsonLineSink
from bramleyspread_daemon._settings import LogSettings

#: The file name that selects JSON lines on standard output.
STANDARD_OUTPUT = "-"

_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} host={extra[host]} "
    "step={extra[step]} peer={extra[peer]} {message}"
)


def configure_logging(settings: LogSettings, host: str) -> None:
    """Configure the level, destination and format of the process's log.

    :param settings: the log level and file.
    :param host: the name of this host.
    """
    # curio logs a warning for every timeout that fires late; the process handles
    # late timeouts itself.
    logging.getLogger("curio").setLevel(logging.ERROR)
    logger.remove()
    logger.configure(extra={"host": host, "step": "-", "peer": "-"})
    if settings.file == STANDARD_OUTPUT:
        logger.add(JsonLineSink(1), level=settings.level, format="{message}")
        return
    sink = settings.file if settings.file is not None else sys.stderr
    logger.add(
        sink,
        level=settings.level,
        format=_FORMAT,
        backtrace=False,
        diagnose=False,
    )
