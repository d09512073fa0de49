"""A target in virtual time: it announces itself, runs calls, and may leave."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import msgspec

from bramleyspread_core import (
    Address,
    Announcement,
    AttemptId,
    Done,
    Fault,
    Load,
    LoadedModel,
    NotRun,
    Outcome,
    Payload,
    PoolName,
    Reason,
    TargetAnswer,
    TargetCall,
    TargetName,
    TargetState,
    Unknown,
    Usage,
    ZoneName,
    encode_json,
)
from bramleyspread_proof._agenda import Agenda
from bramleyspread_proof._entry_host import EntryHost
from bramleyspread_proof._ledger import Ledger, Run
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process

#: Between two announcements, in seconds.
ANNOUNCE = 0.5
#: Shortest and longest run of a call, in seconds.
RUN_TIME = (0.02, 0.4)
#: Calls that a target runs side by side.
SLOTS = 8


class Work(msgspec.Struct, frozen=True):
    """What simulated stages work on: who asked, and which stages have run."""

    #: The caller's own mark.
    marker: str
    #: The stages that have run, in order.
    trail: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetPlace:
    """Where a target stands in its deployment."""

    #: Its name.
    name: TargetName
    #: Its availability zone.
    zone: ZoneName
    #: Where it takes calls.
    address: Address
    #: The pool it serves.
    pool: PoolName
    #: Models that it holds.
    models: tuple[LoadedModel, ...] = ()


@dataclass(frozen=True, slots=True)
class _Call:
    """A call being run."""

    #: Who waits for it.
    caller: Process
    #: Called there with how it ended.
    reply: Callable[[Outcome], None]


class TargetProcess(Process):
    """A target, which counts in the ledger every run that it begins."""

    def __init__(
        self,
        place: TargetPlace,
        effects: frozenset[str],
        agenda: Agenda,
        network: Network,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        super().__init__(place.name, place.zone, agenda, rng)
        #: Where it stands.
        self.place = place
        #: When it said that it leaves, in virtual seconds; None when it has not.
        self.left_at: float | None = None
        #: Entry hosts it may announce itself to.
        self.entry_hosts: Sequence[EntryHost] = ()
        #: Factor on the time of each run.
        self.slowness = 1.0
        #: Share of its answers that it gives to another call than the one they are of.
        self.crossing = 0.0
        self._effects = effects
        self._network = network
        self._ledger = ledger
        self._sequence = 0
        self._calls: dict[AttemptId, _Call] = {}
        self._seen: set[AttemptId] = set()
        network.register(place.address, self)

    def start(self) -> None:
        """Start it as a new incarnation."""
        super().start()
        self.left_at = None
        self._calls.clear()
        self._seen.clear()
        self._announce()
        self.every(ANNOUNCE, self._announce)

    def kill(self) -> None:
        """End it; whoever waits sees the connection closed."""
        calls, self._calls = self._calls, {}
        super().kill()
        for call in calls.values():
            self._answer(call, Unknown(self._fault(Reason.CLOSED, "")))

    def leave(self) -> None:
        """Say that it leaves; run what it has, refuse what comes."""
        self.left_at = self._agenda.now
        for _ in range(3):
            self._announce()

    def take(
        self,
        call: TargetCall,
        caller: Process,
        reply: Callable[[Outcome], None],
    ) -> None:
        """Take a call.

        :param call: the call.
        :param caller: the entry host that waits.
        :param reply: called there with how it ended.
        """
        waiting = _Call(caller, reply)
        if self.left_at is not None:
            self._answer(waiting, NotRun(self._fault(Reason.REFUSED, call.stage)))
            return
        if call.attempt in self._seen:
            return
        self._seen.add(call.attempt)
        work = msgspec.json.decode(call.input, type=Work)
        effect = call.stage in self._effects
        self._ledger.runs.append(
            Run(work.marker, call.request, call.stage, self.name, effect)
        )
        self._calls[call.attempt] = waiting
        seconds = self.rng.uniform(*RUN_TIME) * self.slowness
        self.later(seconds, lambda: self._finish(call, work, seconds))

    def cancel(self, attempt: AttemptId) -> None:
        """Forget a call that nobody waits for."""
        self._calls.pop(attempt, None)

    def _finish(self, call: TargetCall, work: Work, seconds: float) -> None:
        waiting = self._calls.pop(call.attempt, None)
        if waiting is None:
            return
        output = Payload(encode_json(Work(work.marker, (*work.trail, call.stage))))
        usage = Usage(target_us=round(seconds * 1_000_000))
        answer = TargetAnswer(call.request, call.stage, call.attempt, output, usage)
        if self._calls and self.rng.random() < self.crossing:
            other = self.rng.choice(sorted(self._calls))
            waiting, self._calls[other] = self._calls[other], waiting
        self._answer(waiting, Done(answer))

    def _answer(self, call: _Call, outcome: Outcome) -> None:
        self._network.send(self, call.caller, lambda: call.reply(outcome))

    def _fault(self, reason: Reason, step: str) -> Fault:
        return Fault(reason, step, self.name)

    def _announce(self) -> None:
        near = [each for each in self.entry_hosts if each.zone == self.zone]
        ready = [each for each in near if each.alive] or self.entry_hosts
        host = self.rng.choice(ready)
        self._sequence += 1
        left = self.left_at is not None
        announcement = Announcement(
            self.place.name,
            self.life,
            self._sequence,
            self.place.pool,
            self.place.address,
            self.place.zone,
            TargetState.LEAVING if left else TargetState.SERVING,
            Load(running=len(self._calls), slots=SLOTS),
            self.place.models,
        )
        self._network.send(self, host, lambda: host.hear(announcement))
