"""The schema of scenario files, whose steps have exactly one key each."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import UNSET, UnsetType

Seconds = Annotated[float, msgspec.Meta(ge=0, le=100_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10_000)]


class _ScenarioPart(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base class of all parts of a scenario; rejects unknown keys."""


class Submit(_ScenarioPart, frozen=True, kw_only=True):
    """Operators submit the same next version of a service's document."""

    #: Name of the service.
    service: str
    #: The operators, who submit concurrently.
    authors: tuple[str, ...] = ("ana",)
    #: Increment of the version; 0 resends the latest version.
    ahead: int = 1


class Ask(_ScenarioPart, frozen=True, kw_only=True):
    """Callers send requests, spread evenly over a period."""

    #: Name of the service.
    service: str
    #: Name of the pipeline.
    pipeline: str
    #: Number of callers.
    count: Count = 1
    #: Length of the period, in seconds.
    over_s: Seconds = 0.0
    #: Whether the requests have idempotency keys.
    key: bool = False
    #: Availability zone of the callers; by default each zone in turn.
    zone: str | None = None


class Cut(_ScenarioPart, frozen=True, kw_only=True):
    """The network drops all messages between two sides, or in one direction."""

    #: Name of a process or zone, or ``leader``.
    source: str
    #: Likewise; ``rest`` means all other processes.
    target: str = "rest"
    #: Whether messages in the opposite direction still pass.
    one_way: bool = False


class Silence(_ScenarioPart, frozen=True, kw_only=True):
    """Connections to targets drop all data without a reset."""

    #: Share of the connections, idle and in use.
    share: Share = 1.0


class Slow(_ScenarioPart, frozen=True, kw_only=True):
    """Targets become slower."""

    #: Name of a target or zone.
    target: str
    #: Factor by which run times are multiplied.
    factor: Annotated[float, msgspec.Meta(gt=0, le=1_000)]


class Cross(_ScenarioPart, frozen=True, kw_only=True):
    """Targets send answers in response to the wrong calls."""

    #: Name of a target or zone.
    target: str
    #: Share of their answers that is sent in response to a different call.
    share: Share


class Expect(_ScenarioPart, frozen=True, kw_only=True):
    """Conditions that must hold now, over all callers and submissions so far."""

    #: Minimum share of callers that got a complete answer.
    whole_at_least: Share | None = None
    #: Maximum number of callers that were refused.
    refused_at_most: int | None = None
    #: Maximum number of callers whose request failed.
    failed_at_most: int | None = None
    #: Maximum number of callers whose outcome is unknown.
    unknown_at_most: int | None = None
    #: Number of accepted submissions, including resends.
    accepted: int | None = None
    #: Number of submissions that ended in a conflict.
    conflicts: int | None = None
    #: Number of submissions whose outcome is unknown.
    undecided: int | None = None
    #: Whether all accepted documents must be in force on all live entry hosts.
    in_force: bool = False


class Step(_ScenarioPart, frozen=True, kw_only=True):
    """One step, with exactly one key."""

    #: Wait for a number of virtual seconds.
    wait_s: Seconds | UnsetType = UNSET
    #: Submit a document.
    submit: Submit | UnsetType = UNSET
    #: Start callers.
    ask: Ask | UnsetType = UNSET
    #: Cut the network.
    cut: Cut | UnsetType = UNSET
    #: Remove all cuts.
    heal: bool | UnsetType = UNSET
    #: Kill processes.
    kill: str | UnsetType = UNSET
    #: Start dead processes.
    restart: str | UnsetType = UNSET
    #: Freeze processes.
    freeze: str | UnsetType = UNSET
    #: Resume frozen processes.
    thaw: str | UnsetType = UNSET
    #: Kill control hosts and empty their data folders.
    lose_disk: str | UnsetType = UNSET
    #: Leave no space on the disks of control hosts.
    fill_disk: str | UnsetType = UNSET
    #: Make space on the disks of control hosts.
    free_disk: str | UnsetType = UNSET
    #: Begin a planned stop of hosts.
    drain: str | UnsetType = UNSET
    #: Make targets announce that they leave.
    leave: str | UnsetType = UNSET
    #: Make connections silent.
    silence: Silence | UnsetType = UNSET
    #: Slow targets down.
    slow: Slow | UnsetType = UNSET
    #: Cross the answers of targets.
    cross: Cross | UnsetType = UNSET
    #: Check conditions.
    expect: Expect | UnsetType = UNSET

    def find_verb(self) -> str | None:
        """Return the key that is given.

        :returns: the key; None if there is none or more than one.
        """
        given = [
            name for name in self.__struct_fields__ if getattr(self, name) is not UNSET
        ]
        return given[0] if len(given) == 1 else None


class TopologySpec(_ScenarioPart, frozen=True, kw_only=True):
    """The zones of a simulated deployment, and the numbers of processes in them."""

    #: Names of the availability zones.
    zones: Annotated[tuple[str, ...], msgspec.Meta(min_length=1, max_length=16)]
    #: Number of entry hosts in each zone.
    entry: Count = 1
    #: Number of control hosts in each zone.
    control: Count = 1
    #: Number of targets of each pool in each zone.
    targets: Count = 1
    #: Number of consensus groups among which the claims are split.
    groups: Count = 1


class Scenario(_ScenarioPart, frozen=True, kw_only=True):
    """A scenario file."""

    #: What the scenario shows, in one sentence.
    shows: str
    #: Contracts of docs/PROOF.md that it tests, by name.
    proves: tuple[str, ...] = ()
    #: Random seed.
    seed: int = 1
    #: The deployment.
    topology: TopologySpec
    #: The steps, in order.
    steps: Annotated[tuple[Step, ...], msgspec.Meta(min_length=1, max_length=1_000)]
