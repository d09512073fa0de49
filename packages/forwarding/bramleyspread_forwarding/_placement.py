"""Which target gets a request."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from random import Random

import msgspec
import xxhash

from bramleyspread_core import EngineLimits
from bramleyspread_forwarding._requests import Prompt
from bramleyspread_forwarding._targets import ForwardTarget

#: Prompt tokens that an engine reads in a millisecond, about.
READ_TOKENS_PER_MS = 40.0
#: What each request that runs beside adds to the time to the first token, in ms.
RUNNING_MS = 0.5
#: What each request that waits at an engine adds, in ms.
WAITING_MS = 60.0
#: How long a load report counts, in seconds.
REPORT_S = 1.0
#: How long a target that failed is avoided, in seconds.
AVOIDED_S = 1.0
#: Most of that, however often it failed in a row, in seconds.
AVOIDED_MOST_S = 8.0
#: What the way to another availability zone costs, in ms.
OTHER_ZONE_MS = 4.0
#: What it costs to move a megabyte of inputs to another zone, in ms.
INPUT_MS_PER_MB = 13.5
#: What it costs to read a token again that another engine keeps, in ms.
AGAIN_MS_PER_TOKEN = 0.08
#: How long an engine is thought to keep a part that was sent there, in seconds.
KEPT_S = 9.0
#: Parts of one engine that are remembered before old ones are looked for.
MAX_PARTS = 2_000
#: The part of all engines among which a prompt's first part is shared out.
HOME_SHARE = 1 / 3


class TargetLoad(msgspec.Struct, frozen=True):
    """What a target said of its load with an answer."""

    #: Requests that it runs.
    running: int
    #: Requests that wait at it.
    waiting: int
    #: Requests that it can run at once.
    slots: int


class _Known:
    """What this host knows of one target."""

    __slots__ = (
        "avoided_until",
        "failures",
        "in_flight",
        "load",
        "load_at",
        "parts",
        "reading",
        "since_report",
        "tokens",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.reading = 0.0
        self.tokens = 0
        self.load: TargetLoad | None = None
        self.load_at = 0.0
        self.since_report = 0
        self.failures = 0
        self.avoided_until = 0.0
        self.parts: dict[str, float] = {}


class Placed(msgspec.Struct, frozen=True):
    """A target that was chosen, and what was charged to it."""

    #: The target.
    target: ForwardTarget
    #: Prompt tokens that it is thought to have to read.
    reading: float
    #: Tokens of its memory.
    tokens: int
    #: The shared parts of the prompt.
    parts: tuple[str, ...] = ()


class NoTarget(msgspec.Struct, frozen=True):
    """No target can be given the request now."""

    #: Why, for logs.
    reason: str


class Placement:
    """Chooses targets by work in flight, load reports, shared prompts and zone.

    Requests whose prompts share a part go to the same engine while it is not
    much busier than the others: every host ranks the engines of a shared part
    by the same hash.
    """

    def __init__(self, zone: str, rng: Random) -> None:
        self._zone = zone
        self._rng = rng
        self._known: dict[str, _Known] = {}

    def choose(
        self,
        targets: Sequence[ForwardTarget],
        now: float,
        *,
        prompt: Prompt | None = None,
        limits: EngineLimits | None = None,
        tried: Collection[str] = (),
        input_mb: dict[str, float] | None = None,
    ) -> Placed | NoTarget:
        """Choose a target and charge the request to it.

        :param targets: those that take work.
        :param now: seconds.
        :param prompt: what an engine must read; None for plain calls.
        :param limits: what an engine holds.
        :param tried: targets that this request was sent to before.
        :param input_mb: megabytes of its inputs, by the zone they lie in.
        :returns: the target, or why there is none.
        """
        if not targets:
            return NoTarget("no target takes work")
        left = [each for each in targets if each.target not in tried]
        if not left:
            return NoTarget("every target was tried")
        sound = [each for each in left if self._find(each).avoided_until <= now]
        best: Placed | None = None
        best_cost = 0.0
        home = find_home(prompt, targets)
        parts = _list_shared(prompt)
        for each in sound or left:
            reading = self._estimate_reading(each, home, prompt, now)
            cost = self._estimate_ms(each, reading, now)
            cost += reading * AGAIN_MS_PER_TOKEN
            cost += self._estimate_way_ms(each, input_mb or {})
            cost += self._rng.random()
            if best is None or cost < best_cost:
                tokens = prompt.memory_tokens if prompt is not None else 0
                best, best_cost = Placed(each, reading, tokens, parts), cost
        assert best is not None
        if limits is not None and best.tokens > limits.memory_tokens:
            return NoTarget("larger than an engine's memory")
        self._charge(best, now)
        return best

    def note_first_byte(self, placed: Placed) -> None:
        """Take note that the target has read the prompt."""
        known = self._find(placed.target)
        known.reading = max(0.0, known.reading - placed.reading)

    def note_load(self, target: str, load: TargetLoad, now: float) -> None:
        """Take a target's word on its load."""
        known = self._known.setdefault(target, _Known())
        known.load, known.load_at, known.since_report = load, now, 0

    def finish(self, placed: Placed, *, began: bool) -> None:
        """Take a request off its target's account.

        :param placed: what :meth:`choose` gave.
        :param began: whether :meth:`note_first_byte` was called.
        """
        known = self._find(placed.target)
        known.in_flight -= 1
        known.tokens -= placed.tokens
        if not began:
            known.reading = max(0.0, known.reading - placed.reading)

    def note_failure(self, target: str, now: float) -> None:
        """Avoid a target for a while, longer each time in a row."""
        known = self._known.setdefault(target, _Known())
        known.failures += 1
        pause = min(AVOIDED_MOST_S, AVOIDED_S * 2 ** (known.failures - 1))
        known.avoided_until = now + pause

    def note_success(self, target: str) -> None:
        """Take note of a whole answer."""
        known = self._known.setdefault(target, _Known())
        known.failures = 0
        known.avoided_until = 0.0

    def estimate_busy(self, targets: Sequence[ForwardTarget], now: float) -> float:
        """Estimate which share of the targets' places is taken.

        :param targets: the targets.
        :param now: seconds.
        :returns: 0 to 1 and above, where requests wait.
        """
        places = sum(each.slots for each in targets)
        if not places:
            return 1.0
        taken = sum(self._count_present(self._find(each), now) for each in targets)
        return taken / places

    def _find(self, target: ForwardTarget) -> _Known:
        return self._known.setdefault(target.target, _Known())

    def _charge(self, placed: Placed, now: float) -> None:
        known = self._find(placed.target)
        for part in placed.parts:
            known.parts[part] = now
        if len(known.parts) > MAX_PARTS:
            old = [part for part, at in known.parts.items() if now - at > KEPT_S]
            for part in old:
                del known.parts[part]
        known.in_flight += 1
        known.since_report += 1
        known.reading += placed.reading
        known.tokens += placed.tokens

    def _count_present(self, known: _Known, now: float) -> int:
        if known.load is None or now - known.load_at > REPORT_S:
            return known.in_flight
        reported = known.load.running + known.load.waiting + known.since_report
        return max(known.in_flight, reported)

    def _estimate_ms(self, target: ForwardTarget, reading: float, now: float) -> float:
        known = self._find(target)
        present = self._count_present(known, now)
        waiting = max(0, present - target.slots)
        if known.load is not None and now - known.load_at <= REPORT_S:
            waiting = max(waiting, known.load.waiting)
        cost = (known.reading + reading) / READ_TOKENS_PER_MS
        if target.slots < 16:
            cost += present * 1000.0 / target.slots / 10
        return cost + present * RUNNING_MS + waiting * WAITING_MS

    def _estimate_way_ms(
        self, target: ForwardTarget, input_mb: dict[str, float]
    ) -> float:
        cost = 0.0 if target.zone == self._zone else OTHER_ZONE_MS
        for zone, size in input_mb.items():
            if zone != target.zone:
                cost += size * INPUT_MS_PER_MB
        return cost

    def _estimate_reading(
        self,
        target: ForwardTarget,
        home: ForwardTarget | None,
        prompt: Prompt | None,
        now: float,
    ) -> float:
        """Estimate the tokens that an engine must read: what it hasn't cached."""
        if prompt is None:
            return 0.0
        left = prompt.tokens_in
        parts = self._find(target).parts
        for part in prompt.parts[:-1]:
            if target != home and now - parts.get(part.part, -KEPT_S) >= KEPT_S:
                break
            left -= part.tokens
        return float(max(0, left))


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
    shared = _list_shared(prompt)
    if not shared or not targets:
        return None
    few = max(2, math.ceil(len(targets) * HOME_SHARE))
    if len(shared) > 1 and len(targets) > few:
        targets = sorted(targets, key=lambda x: _weigh(shared[0], x), reverse=True)[
            :few
        ]
    return max(targets, key=lambda x: _weigh(shared[-1], x))


def _list_shared(prompt: Prompt | None) -> tuple[str, ...]:
    if prompt is None:
        return ()
    return tuple(part.part for part in prompt.parts[:-1])


def _weigh(part: str, target: ForwardTarget) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{part}/{target.target}"))
