"""Logs by loguru, each line with the step and the peer it is about."""

from __future__ import annotations

import logging
import sys

from loguru import logger

from bramleyspread_daemon._settings import LogSettings

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
    sink = settings.file if settings.file is not None else sys.stderr
    logger.add(
        sink,
        level=settings.level,
        format=_FORMAT,
        backtrace=False,
        diagnose=False,
    )
