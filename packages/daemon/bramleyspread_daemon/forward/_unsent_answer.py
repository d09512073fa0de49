"""What is kept of an answer after its end, since its caller reads too slowly."""

from __future__ import annotations

import curio

from bramleyspread_core import Address
from bramleyspread_daemon._exchange import Reply
from bramleyspread_daemon.forward._held_bytes import HeldBytes, Holding

#: Interval at which it is looked how much a caller has read, in seconds.
POLL_INTERVAL_S = 0.02


async def count_unsent(held: HeldBytes, address: Address, reply: Reply) -> None:
    """Count what waits for a caller until it has read all, or leaves.

    :param held: counts the bytes that are kept of all answers.
    :param address: address of the target that has answered.
    :param reply: the answer to the caller.
    """
    holding = Holding(address, lambda: reply.unsent_bytes, reply.drop_unsent)
    try:
        while (size := reply.unsent_bytes) and not holding.is_given_up:
            held.resize(holding, size)
            await curio.sleep(POLL_INTERVAL_S)
    finally:
        if not holding.is_given_up:
            held.resize(holding, 0)
