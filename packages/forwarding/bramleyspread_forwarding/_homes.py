"""Which engine a prompt's shared parts belong to."""

from __future__ import annotations

import math
from collections.abc import Sequence

import xxhash

from bramleyspread_forwarding._requests import Prompt
from bramleyspread_forwarding._targets import ForwardTarget

#: The part of all engines among which prompts that begin alike are shared out.
HOME_SHARE = 1 / 3


def find_home(
    prompt: Prompt | None, targets: Sequence[ForwardTarget]
) -> ForwardTarget | None:
    """Find the engine that a prompt's shared parts belong to, the same on each host.

    Prompts that begin alike share a few engines; among these, the last shared part
    decides.

    :param prompt: the prompt.
    :param targets: the engines.
    :returns: the engine; None when the prompt shares nothing.
    """
    shared = list_shared(prompt)
    if not shared or not targets:
        return None
    few = max(2, math.ceil(len(targets) * HOME_SHARE))
    if len(shared) > 1 and len(targets) > few:
        first = shared[0]
        ranked = sorted(targets, key=lambda x: _weigh(first, x), reverse=True)
        targets = ranked[:few]
    return max(targets, key=lambda x: _weigh(shared[-1], x))


def list_shared(prompt: Prompt | None) -> tuple[str, ...]:
    """List the parts of a prompt that others may share.

    :param prompt: the prompt; None when there is none.
    :returns: the ids of all parts but the last, which is the request's own.
    """
    if prompt is None:
        return ()
    return tuple(part.part for part in prompt.parts[:-1])


def _weigh(part: str, target: ForwardTarget) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{part}/{target.target}"))
