"""Pieces of stages, between entry hosts and in the plan of one request."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

import msgspec

from bramleyspread_core import StagePlan


class PieceFault(str, Enum):
    """Why a piece has no result."""

    #: Its time was over before its turn.
    LATE = "late"
    #: One of its inputs is gone.
    GONE = "gone"
    #: Its target had no room for the result.
    ROOM = "room"
    #: Its target failed at it.
    ERROR = "error"
    #: It was not tried: it could not have ended in time.
    FULL = "full"
    #: It was not tried here: another host batches for its service by now.
    MOVED = "moved"


class PieceItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One piece to be made."""

    #: The caller's id of the request that needs it.
    request: str
    #: The number of its stage.
    stage: int
    #: Its number in the stage.
    piece: int


class HeldResult(msgspec.Struct, frozen=True, array_like=True):
    """A result that a request of an entry host still needs."""

    #: Where it lies.
    handle: str
    #: The id of the target that made it.
    maker: str
    #: About its size, in bytes.
    size: int
    #: How long its maker keeps it at most, in milliseconds.
    remaining_ms: float


class PieceJob(msgspec.Struct, frozen=True, kw_only=True):
    """All pieces of one stage of one request.

    ``POST /v1/pieces`` asks the host that batches for the service.
    """

    #: The service that makes them.
    service: str
    #: The pieces.
    items: tuple[PieceItem, ...]
    #: What each of them is made from in a first stage.
    key: str = ""
    #: The results that each of them is made from in a later stage.
    inputs: tuple[str, ...] = ()
    #: Time left for them, in milliseconds.
    remaining_ms: float
    #: Time left until the request would be late, in milliseconds; may be below 0.
    aim_ms: float = 0.0
    #: Rank of the request; 0 goes first.
    priority: int = 0
    #: About the size of one result, in bytes.
    result_bytes: int = 0
    #: The availability zone where the results will be needed, or the inputs lie;
    #: empty for any.
    zone: str = ""
    #: Whether the inputs are so large that targets of that zone are waited for.
    is_bound: bool = False
    #: What the asking host holds of the service, when the asked one may not know.
    held: tuple[HeldResult, ...] = ()


class PieceResult(msgspec.Struct, frozen=True):
    """One piece's result, or why there is none."""

    #: Where the result lies; empty when there is none.
    handle: str = ""
    #: Why there is none.
    fault: PieceFault | None = None
    #: The availability zone of its maker.
    zone: str = ""
    #: The id of its maker.
    maker: str = ""


class PieceResults(msgspec.Struct, frozen=True):
    """The results of a job, in the order of its items."""

    #: The results.
    results: tuple[PieceResult, ...]


class PieceRelease(msgspec.Struct, frozen=True):
    """Results that are needed no more.

    ``POST /v1/pieces-release`` tells the host that batches for the service.
    """

    #: The service that made them.
    service: str
    #: The results.
    handles: tuple[str, ...]


class ReadyStage(msgspec.Struct, frozen=True):
    """A stage of a request that can begin."""

    #: Its number.
    number: int
    #: The service that makes it.
    service: str
    #: Its pieces.
    items: tuple[PieceItem, ...]
    #: What each of them is made from in a first stage.
    key: str
    #: The results that each of them is made from in a later stage.
    inputs: tuple[str, ...]


class StageRun:
    """How far the stages of one request have come."""

    def __init__(
        self, request: str, stages: Sequence[StagePlan], counts: Sequence[int], key: str
    ) -> None:
        self._request = request
        self._stages = tuple(stages)
        self._counts = tuple(counts) + (0,) * (len(self._stages) - len(counts))
        self._key = key
        self._made: dict[int, tuple[PieceResult, ...]] = {}
        self._begun: set[int] = set()
        self._taken: set[int] = set()
        self._depths = _measure_depths(self._stages)

    def take_spent(self) -> list[PieceRelease]:
        """Take the results that no stage needs any more, by who made them.

        Those that the request itself needs are not among them.
        """
        followed = self._find_followed()
        done = {
            number
            for number in followed
            if all(
                follower in self._made
                for follower, stage in enumerate(self._stages)
                if number in stage.after
            )
        }
        return self._take(done)

    def take_all(self) -> list[PieceRelease]:
        """Take all results that were not taken before, by who made them."""
        return self._take(set(self._made))

    def _take(self, numbers: set[int]) -> list[PieceRelease]:
        by_service: dict[str, list[str]] = {}
        for number in sorted(numbers - self._taken):
            handles = [x.handle for x in self._made.get(number, ()) if x.handle]
            if handles:
                service = self._stages[number].service
                by_service.setdefault(service, []).extend(handles)
        self._taken |= numbers & set(self._made)
        return [PieceRelease(name, tuple(each)) for name, each in by_service.items()]

    @property
    def is_done(self) -> bool:
        """Whether every stage is made."""
        return len(self._made) == len(self._stages)

    @property
    def inputs(self) -> tuple[PieceResult, ...]:
        """The results that the request itself needs: of stages no other follows."""
        followed = self._find_followed()
        return tuple(
            result
            for number in range(len(self._stages))
            if number not in followed
            for result in self._made.get(number, ())
        )

    def measure_inputs(self) -> dict[str, float]:
        """Sum up the megabytes of the request's inputs by zone."""
        followed = self._find_followed()
        sizes: dict[str, float] = {}
        for number, stage in enumerate(self._stages):
            if number in followed:
                continue
            for result in self._made.get(number, ()):
                size = stage.result_bytes / 1e6
                sizes[result.zone] = sizes.get(result.zone, 0.0) + size
        return sizes

    def find_inputs(self, number: int) -> tuple[str, float]:
        """Find what the pieces of a stage will fetch.

        :param number: the stage.
        :returns: the zone where most of it lies, and its bytes in all.
        """
        by_zone: dict[str, float] = {}
        for before in self._stages[number].after:
            size = float(self._stages[before].result_bytes)
            for result in self._made.get(before, ()):
                by_zone[result.zone] = by_zone.get(result.zone, 0.0) + size
        zone = max(by_zone, key=lambda each: by_zone[each], default="")
        return zone, sum(by_zone.values()) * self._counts[number]

    def take_ready(self) -> list[ReadyStage]:
        """Take the stages that should begin now.

        A stage waits until no longer chain is left to be begun: its results would
        only take room while the chain goes on.

        :returns: the stages.
        """
        ready: list[ReadyStage] = []
        deepest = max(
            (x for n, x in enumerate(self._depths) if n not in self._begun), default=0
        )
        for number, stage in enumerate(self._stages):
            ready_now = all(x in self._made for x in stage.after)
            if number in self._begun or not ready_now:
                continue
            if self._depths[number] < deepest and self._counts[number]:
                continue
            self._begun.add(number)
            if not self._counts[number]:
                self._made[number] = ()
                return [*ready, *self.take_ready()]
            ready.append(self._describe(number, stage))
        return ready

    def finish(self, number: int, results: Sequence[PieceResult]) -> None:
        """Take the results of a stage."""
        self._made[number] = tuple(results)

    def _describe(self, number: int, stage: StagePlan) -> ReadyStage:
        before = [each for after in stage.after for each in self._made[after]]
        return ReadyStage(
            number,
            stage.service,
            tuple(
                PieceItem(request=self._request, stage=number, piece=piece)
                for piece in range(self._counts[number])
            ),
            "" if stage.after else self._key,
            tuple(result.handle for result in before),
        )

    def _find_followed(self) -> set[int]:
        return {number for stage in self._stages for number in stage.after}


def _measure_depths(stages: Sequence[StagePlan]) -> tuple[int, ...]:
    """Count, for each stage, the stages of the longest chain that begins with it."""
    depths = [1] * len(stages)
    for number in reversed(range(len(stages))):
        for before in stages[number].after:
            depths[before] = max(depths[before], depths[number] + 1)
    return tuple(depths)
