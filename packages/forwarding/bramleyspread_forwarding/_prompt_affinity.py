"""Assigns shared prompt parts to engines, so that their caches are reused."""

from __future__ import annotations

import math
from collections.abc import Sequence

import xxhash

from bramleyspread_capacity import EngineSpeed
from bramleyspread_forwarding._requests import Prompt
from bramleyspread_forwarding._targets import ForwardTarget

#: Share of all engines among which prompts with the same first part are distributed.
AFFINITY_SHARE = 1 / 3


def find_preferred_engine(
    prompt: Prompt | None, targets: Sequence[ForwardTarget]
) -> ForwardTarget | None:
    """Find the engine that should cache a prompt's shared parts.

    All hosts find the same engine. Prompts with the same first part are distributed
    over a small group of engines; within the group, the last shared part decides.

    :param prompt: the prompt.
    :param targets: the engines.
    :returns: the engine; None when the prompt has no shared parts.
    """
    shared_parts = list_shared_parts(prompt)
    if not shared_parts or not targets:
        return None
    group_size = max(2, math.ceil(len(targets) * AFFINITY_SHARE))
    if len(shared_parts) > 1 and len(targets) > group_size:
        first = shared_parts[0]
        ranked = sorted(targets, key=lambda x: _hash_weight(first, x), reverse=True)
        targets = ranked[:group_size]
    return max(targets, key=lambda x: _hash_weight(shared_parts[-1], x))


def estimate_reading_ms(prompt: Prompt | None, speed: EngineSpeed) -> float:
    """Estimate the time to first token of a prompt at its preferred engine, in ms.

    :param prompt: the prompt; its shared parts are expected in the engine's cache.
    :param speed: the speed of the service's engines.

    >>> from bramleyspread_forwarding._requests import PromptPart
    >>> own = PromptPart("own", 6_000)
    >>> prompt = Prompt(
    ...     tokens_in=20_000, tokens_out=9, parts=(PromptPart("a", 14_000), own)
    ... )
    >>> estimate_reading_ms(prompt, EngineSpeed())
    350.0
    """
    own_tokens = prompt.parts[-1].tokens if prompt is not None and prompt.parts else 0
    return speed.estimate_ms(own_tokens, 0)


def list_shared_parts(prompt: Prompt | None) -> tuple[str, ...]:
    """List the prompt parts that other prompts may share.

    :param prompt: the prompt; None when there is none.
    :returns: the ids of all parts but the last, which is the request's own.
    """
    if prompt is None:
        return ()
    return tuple(part.part for part in prompt.parts[:-1])


def _hash_weight(part: str, target: ForwardTarget) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{part}/{target.target}"))
