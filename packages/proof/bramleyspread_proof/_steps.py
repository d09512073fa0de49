"""The steps that a scenario file may hold; one key a step."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import UNSET, UnsetType

Seconds = Annotated[float, msgspec.Meta(ge=0, le=100_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Many = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A part of a scenario; keys that it does not know are faults."""


class Submit(_Part, frozen=True, kw_only=True):
    """Operators submit the next version of a service, all with equal numbers."""

    #: The service.
    service: str
    #: Who submits; several race.
    authors: tuple[str, ...] = ("ana",)
    #: Versions above the one accepted last; 0 resends that one.
    ahead: int = 1


class Ask(_Part, frozen=True, kw_only=True):
    """Callers ask, spread evenly over a time."""

    #: The service.
    service: str
    #: The pipeline.
    pipeline: str
    #: How many callers.
    count: Many = 1
    #: Over how many seconds.
    over_s: Seconds = 0.0
    #: Whether they give idempotency keys.
    key: bool = False
    #: The availability zone they stand in; each in turn when left out.
    zone: str | None = None


class Cut(_Part, frozen=True, kw_only=True):
    """Everything between two sides is lost, or only one way."""

    #: A process, a zone or ``leader``.
    source: str
    #: The same; ``rest`` is everything else.
    target: str = "rest"
    #: Whether the way back stays open.
    one_way: bool = False


class Silence(_Part, frozen=True, kw_only=True):
    """Pooled connections forget themselves without a word."""

    #: Share of the pooled connections.
    share: Share = 1.0


class Slow(_Part, frozen=True, kw_only=True):
    """Targets take longer."""

    #: A target, or a zone.
    target: str
    #: Factor on their time.
    factor: Annotated[float, msgspec.Meta(gt=0, le=1_000)]


class Cross(_Part, frozen=True, kw_only=True):
    """Targets give answers to the wrong calls."""

    #: A target, or a zone.
    target: str
    #: Share of their answers.
    share: Share


class Expect(_Part, frozen=True, kw_only=True):
    """What must be true now, over all callers and submissions so far."""

    #: Least share of the callers that have their whole answer.
    whole_at_least: Share | None = None
    #: Most callers that were told they were refused.
    refused_at_most: int | None = None
    #: Most callers that were told there is no answer.
    failed_at_most: int | None = None
    #: Most callers that were told that nobody knows.
    unknown_at_most: int | None = None
    #: Submissions accepted, resends included.
    accepted: int | None = None
    #: Submissions that met a conflict.
    conflicts: int | None = None
    #: Submissions whose fate nobody knows.
    undecided: int | None = None
    #: Whether every accepted change is in force on all live entry hosts.
    in_force: bool = False


class Step(_Part, frozen=True, kw_only=True):
    """One step; exactly one key is given."""

    #: Let virtual seconds pass.
    wait_s: Seconds | UnsetType = UNSET
    #: Operators submit.
    submit: Submit | UnsetType = UNSET
    #: Callers ask.
    ask: Ask | UnsetType = UNSET
    #: Cut the network.
    cut: Cut | UnsetType = UNSET
    #: End all cuts.
    heal: bool | UnsetType = UNSET
    #: End processes at once.
    kill: str | UnsetType = UNSET
    #: Start processes that are dead.
    restart: str | UnsetType = UNSET
    #: Stop processes in their tracks.
    freeze: str | UnsetType = UNSET
    #: Let frozen processes go on.
    thaw: str | UnsetType = UNSET
    #: End control hosts and empty their folders.
    lose_disk: str | UnsetType = UNSET
    #: Stop hosts as planned.
    drain: str | UnsetType = UNSET
    #: Have targets leave.
    leave: str | UnsetType = UNSET
    #: Connections go silent.
    silence: Silence | UnsetType = UNSET
    #: Targets become slow.
    slow: Slow | UnsetType = UNSET
    #: Answers are crossed.
    cross: Cross | UnsetType = UNSET
    #: What must be true.
    expect: Expect | UnsetType = UNSET

    def name_verb(self) -> str | None:
        """Name the one key that is given.

        :returns: the key; None when there is none or more than one.
        """
        given = [
            name for name in self.__struct_fields__ if getattr(self, name) is not UNSET
        ]
        return given[0] if len(given) == 1 else None


class Zones(_Part, frozen=True, kw_only=True):
    """What stands in each availability zone."""

    #: The zones.
    zones: Annotated[tuple[str, ...], msgspec.Meta(min_length=1, max_length=16)]
    #: Entry hosts in each.
    entry: Many = 1
    #: Control hosts in each.
    control: Many = 1
    #: Targets of each pool in each.
    targets: Many = 1
    #: Groups that share the claims.
    groups: Many = 1


class Scenario(_Part, frozen=True, kw_only=True):
    """A scenario file."""

    #: What it shows, in one sentence.
    shows: str
    #: Points of docs/PROOF.md that it proves, by contract name.
    proves: tuple[str, ...] = ()
    #: Where chance comes from.
    seed: int = 1
    #: The deployment.
    topology: Zones
    #: What happens, in order.
    steps: Annotated[tuple[Step, ...], msgspec.Meta(min_length=1, max_length=1_000)]
