"""A simulated target that announces itself, runs calls and can leave its pool."""

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
from bramleyspread_proof._agenda import Scheduler
from bramleyspread_proof._entry_host import EntryHost
from bramleyspread_proof._ledger import Ledger, Run
from bramleyspread_proof._network import Network
from bramleyspread_proof._process import Process

#: Interval between two announcements, in seconds.
ANNOUNCE_INTERVAL_S = 0.5
#: Minimum and maximum run time of a call, in seconds.
RUN_TIME_RANGE_S = (0.02, 0.4)
#: Number of slots that a target announces.
SLOTS = 8


class Work(msgspec.Struct, frozen=True):
    """The payload passed through simulated stages: a marker and the stages run."""

    #: Marker of the caller.
    marker: str
    #: Stages that have run, in order.
    trail: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """Name, zone, address, pool and models of a target."""

    #: Name of the target.
    name: TargetName
    #: Availability zone of the target.
    zone: ZoneName
    #: Address at which it accepts calls.
    address: Address
    #: Pool to which it belongs.
    pool: PoolName
    #: Models that it has loaded.
    models: tuple[LoadedModel, ...] = ()


@dataclass(frozen=True, slots=True)
class _Call:
    """A running call."""

    #: The process that waits for the outcome.
    caller: Process
    #: Called in that process with the outcome.
    reply: Callable[[Outcome], None]


class TargetProcess(Process):
    """A target that records in the ledger every run that it starts."""

    def __init__(
        self,
        spec: TargetSpec,
        side_effect_stages: frozenset[str],
        scheduler: Scheduler,
        network: Network,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        super().__init__(spec.name, spec.zone, scheduler, rng)
        #: Name, zone, address, pool and models of the target.
        self.spec = spec
        #: Virtual time at which it announced that it leaves; None if it has not.
        self.left_at: float | None = None
        #: Entry hosts to which it can announce itself.
        self.entry_hosts: Sequence[EntryHost] = ()
        #: Factor by which each run time is multiplied.
        self.slow_factor = 1.0
        #: Share of answers that are sent in response to a different call.
        self.crossed_share = 0.0
        self._side_effect_stages = side_effect_stages
        self._network = network
        self._ledger = ledger
        self._sequence = 0
        self._calls: dict[AttemptId, _Call] = {}
        self._seen_attempts: set[AttemptId] = set()
        network.register(spec.address, self)

    def start(self) -> None:
        """Start the target as a new incarnation."""
        super().start()
        self.left_at = None
        self._calls.clear()
        self._seen_attempts.clear()
        self._announce()
        self.call_every(ANNOUNCE_INTERVAL_S, self._announce)

    def kill(self) -> None:
        """End the process and close the connections of the running calls."""
        calls, self._calls = self._calls, {}
        super().kill()
        for call in calls.values():
            self._send_reply(call, Unknown(self._make_fault(Reason.CLOSED, "")))

    def leave(self) -> None:
        """Announce that the target leaves; finish running calls and refuse new ones."""
        self.left_at = self._scheduler.now
        for _ in range(3):
            self._announce()

    def handle_call(
        self,
        call: TargetCall,
        caller: Process,
        reply: Callable[[Outcome], None],
    ) -> None:
        """Run a call, or refuse it if the target is leaving; ignore repeated attempts.

        :param call: the call.
        :param caller: the entry host that waits for the outcome.
        :param reply: called in the entry host with the outcome.
        """
        running = _Call(caller, reply)
        if self.left_at is not None:
            self._send_reply(
                running, NotRun(self._make_fault(Reason.REFUSED, call.stage))
            )
            return
        if call.attempt in self._seen_attempts:
            return
        self._seen_attempts.add(call.attempt)
        work = msgspec.json.decode(call.input, type=Work)
        has_effect = call.stage in self._side_effect_stages
        self._ledger.runs.append(
            Run(work.marker, call.request, call.stage, self.name, has_effect)
        )
        self._calls[call.attempt] = running
        seconds = self.rng.uniform(*RUN_TIME_RANGE_S) * self.slow_factor
        self.call_later(seconds, lambda: self._finish(call, work, seconds))

    def cancel(self, attempt: AttemptId) -> None:
        """Drop a call whose outcome is no longer needed."""
        self._calls.pop(attempt, None)

    def _finish(self, call: TargetCall, work: Work, seconds: float) -> None:
        running = self._calls.pop(call.attempt, None)
        if running is None:
            return
        output = Payload(encode_json(Work(work.marker, (*work.trail, call.stage))))
        usage = Usage(target_us=round(seconds * 1_000_000))
        answer = TargetAnswer(call.request, call.stage, call.attempt, output, usage)
        if self._calls and self.rng.random() < self.crossed_share:
            other = self.rng.choice(sorted(self._calls))
            running, self._calls[other] = self._calls[other], running
        self._send_reply(running, Done(answer))

    def _send_reply(self, call: _Call, outcome: Outcome) -> None:
        self._network.send(self, call.caller, lambda: call.reply(outcome))

    def _make_fault(self, reason: Reason, step: str) -> Fault:
        return Fault(reason, step, self.name)

    def _announce(self) -> None:
        near = [each for each in self.entry_hosts if each.zone == self.zone]
        ready = [each for each in near if each.alive] or self.entry_hosts
        host = self.rng.choice(ready)
        self._sequence += 1
        left = self.left_at is not None
        announcement = Announcement(
            self.spec.name,
            self.incarnation,
            self._sequence,
            self.spec.pool,
            self.spec.address,
            self.spec.zone,
            TargetState.LEAVING if left else TargetState.SERVING,
            Load(running=len(self._calls), slots=SLOTS),
            self.spec.models,
        )
        self._network.send(self, host, lambda: host.handle_announcement(announcement))
