"""Turns of other tasks while one reads what a peer sends."""

from __future__ import annotations

import curio

#: Number of steps, such as chunks or events, after which others get their turn.
STEPS_PER_TURN = 64


class Turns:
    """Gives other tasks their turn after some steps of work on a peer's bytes.

    A task that never has to wait for more bytes keeps all others of its process from
    running. How many steps one read holds is up to the peer, so they are counted, not
    reads or bytes.
    """

    __slots__ = ("_steps",)

    def __init__(self) -> None:
        self._steps = 0

    async def step(self) -> None:
        """Count a step, and let other tasks run if it is their turn."""
        self._steps += 1
        if self._steps % STEPS_PER_TURN == 0:
            await curio.sleep(0)
