"""Binds the socket on which a server listens."""

from __future__ import annotations

import errno
from typing import Any

import curio
import curio.socket
from loguru import logger

from bramleyspread_core import Address
from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon._stop_signal import (
    StoppedBeforeServingError,
    find_stop_signal,
)

#: Listen backlog of the socket.
BACKLOG = 1_024
#: Time for which a start waits until its address is free, in seconds. The process
#: before it may still be ending, or the system may have lent the port to an outgoing
#: connection.
BIND_TIMEOUT_S = 30.0
#: Interval between two attempts, in seconds.
BIND_RETRY_INTERVAL_S = 0.1


async def bind_listener(address: Address) -> Any:  # noqa: ANN401
    """Bind a listening socket, and wait for the address while it is in use.

    :param address: the address to listen on; port 0 selects a free port.
    :returns: the socket, which listens.
    :raises OSError: when the address cannot be bound.
    :raises StoppedBeforeServingError: when a signal to stop arrives meanwhile.
    """
    began_at = read_monotonic()
    is_reported = False
    while True:
        try:
            listener = _bind(address)
        except OSError as error:
            waited_s = read_monotonic() - began_at
            if error.errno != errno.EADDRINUSE or waited_s >= BIND_TIMEOUT_S:
                raise
            if not is_reported:
                is_reported = True
                text = f"{error}; tries again for {BIND_TIMEOUT_S:.0f} s"
                logger.bind(step="start", peer=str(address)).warning(text)
        else:
            if is_reported:
                waited_s = read_monotonic() - began_at
                text = f"listens after {waited_s:.1f} s"
                logger.bind(step="start", peer=str(address)).info(text)
            return listener
        if find_stop_signal() is not None:
            raise StoppedBeforeServingError(f"{address} is still in use")
        await curio.sleep(BIND_RETRY_INTERVAL_S)


def _bind(address: Address) -> Any:  # noqa: ANN401
    family = curio.socket.AF_INET6 if ":" in address.ip else curio.socket.AF_INET
    listener = curio.socket.socket(family, curio.socket.SOCK_STREAM)
    try:
        listener.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_REUSEADDR, 1)
        listener.bind((address.ip, address.port))
        listener.listen(BACKLOG)
    except OSError:
        listener._socket.close()
        raise
    return listener
