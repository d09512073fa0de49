"""Which target gets a request."""

from __future__ import annotations

from collections.abc import Sequence
from itertools import count
from random import Random

import msgspec

from bramleyspread_core import EngineLimits
from bramleyspread_forwarding._accounts import TargetAccount
from bramleyspread_forwarding._homes import find_home, list_shared
from bramleyspread_forwarding._placing import (
    NoTarget,
    Placed,
    PlaceQuery,
    PlaceStep,
)
from bramleyspread_forwarding._targets import ForwardTarget

#: Prompt tokens that an engine reads in a millisecond beside its other work, about.
READ_TOKENS_PER_MS = 30.0
#: What each request that runs beside adds to the time to the first token, in ms.
RUNNING_MS = 0.5
#: What each request that waits at a target adds, in ms.
WAITING_MS = 60.0
#: Targets with fewer places than this work on each request by itself.
FEW_PLACES = 16
#: What a full target of that kind is worse than an empty one, in ms.
FULL_MS = 100.0
#: What the way to another availability zone costs, in ms.
OTHER_ZONE_MS = 4.0
#: What it costs to move a megabyte of inputs to another zone, in ms.
INPUT_MS_PER_MB = 13.5
#: What it costs to read a token again that another engine keeps, in ms.
AGAIN_MS_PER_TOKEN = 0.05
#: What it costs to be late, in ms.
LATE_MS = 2_000.0
#: What it costs when an engine's memory does not hold all its requests, in ms.
CROWDED_MS = 4_000.0
#: The part of an engine's memory that is given out.
MEMORY_SHARE = 0.9
#: How long a charge stands whose end nobody tells, in seconds.
CHARGE_S = 40.0


class _Charge(msgspec.Struct, frozen=True):
    """A request on a target's account."""

    #: What was chosen for it.
    placed: Placed
    #: When, in seconds.
    at: float
    #: Whether its prompt was read.
    is_read: bool = False


class Placement:
    """Chooses targets by work in flight, load reports, shared prompts and zone.

    Requests whose prompts share parts go to the same engine while they are on time
    there and it is not much busier than the others.
    """

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._accounts: dict[str, TargetAccount] = {}
        self._charges: dict[int, _Charge] = {}
        self._tickets = count(rng.getrandbits(40) << 20)

    def choose(
        self,
        query: PlaceQuery,
        targets: Sequence[ForwardTarget],
        limits: EngineLimits | None,
        now: float,
    ) -> Placed | NoTarget:
        """Choose a target and charge the request to it.

        :param query: the request.
        :param targets: those that take work.
        :param limits: what an engine holds; None for plain targets.
        :param now: seconds.
        :returns: the target, or why there is none.
        """
        if not targets:
            return NoTarget("no target takes work")
        left = [each for each in targets if each.target not in query.tried]
        if not left:
            return NoTarget("every target was tried")
        tokens = query.prompt.memory_tokens if query.prompt is not None else 0
        if limits is not None and tokens > limits.memory_tokens:
            return NoTarget("larger than an engine's memory")
        sound = [each for each in left if self._find(each).avoided_until <= now]
        home = find_home(query.prompt, targets)
        best = min(
            sound or left,
            key=lambda each: self._weigh(query, each, each == home, limits, now),
        )
        reading = self._find(best).count_unread(query.prompt, now)
        ahead = round(self._find(best).count_present(now))
        placed = Placed(next(self._tickets), best, reading, tokens, ahead)
        self._charge(placed, list_shared(query.prompt), now)
        return placed

    def take_step(self, step: PlaceStep, now: float) -> None:
        """Take note of what became of a request.

        :param step: the step.
        :param now: seconds.
        """
        account = self._accounts.setdefault(step.target, TargetAccount())
        if step.load is not None:
            account.note_load(step.load, now)
        charge = self._charges.get(step.ticket)
        if charge is not None:
            self._settle(charge, step, account)
        if step.good:
            account.note_success()
        elif step.good is False:
            account.note_failure(now)

    def expire(self, now: float) -> None:
        """Drop the charges whose end nobody told."""
        for ticket, charge in tuple(self._charges.items()):
            if now - charge.at > CHARGE_S:
                target = charge.placed.target.target
                step = PlaceStep(ticket=ticket, target=target, ended=True)
                self.take_step(step, now)

    def _settle(self, charge: _Charge, step: PlaceStep, account: TargetAccount) -> None:
        placed = charge.placed
        if not charge.is_read and (step.began or step.ended):
            account.note_read(placed.reading)
        if step.ended:
            account.settle(placed.tokens)
            del self._charges[placed.ticket]
        elif step.began:
            self._charges[placed.ticket] = _Charge(placed, charge.at, is_read=True)

    def _find(self, target: ForwardTarget) -> TargetAccount:
        return self._accounts.setdefault(target.target, TargetAccount())

    def _charge(self, placed: Placed, parts: tuple[str, ...], now: float) -> None:
        account = self._find(placed.target)
        account.note_parts(parts, now)
        account.charge(placed.reading, placed.tokens)
        self._charges[placed.ticket] = _Charge(placed, now)

    def _weigh(
        self,
        query: PlaceQuery,
        target: ForwardTarget,
        is_home: bool,
        limits: EngineLimits | None,
        now: float,
    ) -> float:
        """Weigh what it costs to send a request to a target, in ms."""
        account = self._find(target)
        unread = account.count_unread(query.prompt, now)
        wait = self._estimate_wait_ms(target, account, unread, now)
        cost = wait + self._rng.random()
        if not is_home:
            cost += unread * AGAIN_MS_PER_TOKEN
        if query.slack_ms > 0 and wait > query.slack_ms:
            cost += LATE_MS
        if limits is not None and query.prompt is not None:
            taken = account.tokens + query.prompt.memory_tokens
            if taken > limits.memory_tokens * MEMORY_SHARE:
                cost += CROWDED_MS
        if target.zone != query.zone:
            cost += OTHER_ZONE_MS
        for zone, size in query.input_mb.items():
            if zone != target.zone:
                cost += size * INPUT_MS_PER_MB
        return cost

    def _estimate_wait_ms(
        self, target: ForwardTarget, account: TargetAccount, unread: float, now: float
    ) -> float:
        present = account.count_present(now)
        wait = (account.reading + unread) / READ_TOKENS_PER_MS
        if target.slots < FEW_PLACES:
            wait += FULL_MS * present / target.slots
        waiting = account.count_waiting(target.slots, now)
        return wait + present * RUNNING_MS + waiting * WAITING_MS
