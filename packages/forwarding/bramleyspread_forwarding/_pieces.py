"""Pieces of stages: the messages between entry hosts, and one request's progress.

A stage of a request consists of pieces, which targets process independently of each
other.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

import msgspec

from bramleyspread_core import MessageError, StagePlan
from bramleyspread_forwarding._stage_load import NO_LOAD, StageLoad


class PieceFault(str, Enum):
    """Why a piece has no result."""

    #: The deadline passed before the piece was processed.
    LATE = "late"
    #: One of the inputs is no longer stored.
    GONE = "gone"
    #: The target had no storage for the result, or certainly did not process the call.
    STORAGE_FULL = "room"
    #: The target failed to process the piece, or did not answer the call.
    ERROR = "error"
    #: The piece was not sent to any target, because it would have been too late.
    SHED = "full"
    #: The piece was not processed here, because another host is the batching host of
    #: its service now.
    MOVED = "moved"


class PieceItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Identifies a piece to be processed."""

    #: The caller's id of the request that needs the piece.
    request: str
    #: Number of the piece's stage in the route.
    stage: int
    #: Number of the piece in its stage.
    piece: int


class HeldResult(msgspec.Struct, frozen=True, array_like=True):
    """A result that a request of an entry host still needs."""

    #: Handle under which the target stores the result.
    handle: str
    #: Id of the target that produced and stores the result.
    maker: str
    #: Approximate size, in bytes.
    size: int
    #: Time until the target evicts the result, in milliseconds.
    remaining_ms: float


class PieceJob(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """All pieces of one stage of one request.

    Sent with ``POST /v1/pieces`` to the batching host of the shard.
    """

    #: The service that processes the pieces.
    service: str
    #: The caller's id of the request that needs the pieces.
    request: str
    #: Number of the pieces' stage in the route.
    stage: int
    #: Number of pieces; they are numbered from 0.
    pieces: int
    #: Number of the shard of the service whose targets process the pieces.
    shard: int = 0
    #: Identifies the source data that pieces of a first stage read; empty in later
    #: stages.
    key: str = ""
    #: Handles of the earlier results that each piece of a later stage reads.
    inputs: tuple[str, ...] = ()
    #: Time until the deadline, in milliseconds.
    remaining_ms: float
    #: Time until the request misses its latency goal, in milliseconds; negative when
    #: it has missed it.
    aim_ms: float = 0.0
    #: Priority of the request; 0 is the most urgent.
    priority: int = 0
    #: Approximate size of one result, in bytes.
    result_bytes: int = 0
    #: Availability zone where the results will be needed or the inputs are stored;
    #: empty for any, as long as all pieces are processed in the same one.
    zone: str = ""
    #: Approximate bytes that cross zones if the pieces are processed in another zone.
    crossing_bytes: int = 0
    #: Results of the service that the sending host holds; empty when it already
    #: reported them to the batching host.
    held: tuple[HeldResult, ...] = ()
    #: Hosts that didn't answer the sending host lately, so that it asks another one.
    unreachable: tuple[str, ...] = ()
    #: Whether another stage of the request has results already.
    is_begun: bool = False
    #: Number of offered requests for which the request stands, if the sending host
    #: admits only a share of them.
    weight: float = 1.0

    def make_item(self, piece: int) -> PieceItem:
        """Return the identity of one of its pieces."""
        return PieceItem(request=self.request, stage=self.stage, piece=piece)


class PieceResult(msgspec.Struct, frozen=True):
    """The result of a piece, or the reason for which there is none."""

    #: Handle under which the target stores the result; empty when there is none.
    handle: str = ""
    #: Why there is no result; None when there is one.
    fault: PieceFault | None = None
    #: Availability zone of the target that produced the result.
    zone: str = ""
    #: Id of the target that produced the result.
    maker: str = ""


class PieceResults(msgspec.Struct, frozen=True, omit_defaults=True):
    """The results of a job, in the order of its pieces, as sent between hosts.

    Results of one call have the same maker, which is named once.

    >>> results = (PieceResult("h1", None, "z", "t"), PieceResult("h2", None, "z", "t"))
    >>> PieceResults.pack(results).unpack() == results
    True
    """

    #: Handle of each result; empty where there is none.
    handles: tuple[str, ...]
    #: Targets that produced results, with their availability zones.
    makers: tuple[tuple[str, str], ...]
    #: For each result, the number of its maker in ``makers``.
    made_by: tuple[int, ...]
    #: Why there is no result, by number of the piece.
    faults: dict[int, PieceFault] = {}
    #: Load of the shard. Hosts of earlier builds neither send nor read it.
    load: StageLoad = NO_LOAD

    @classmethod
    def pack(
        cls, results: Sequence[PieceResult], load: StageLoad = NO_LOAD
    ) -> PieceResults:
        """Build the message.

        :param results: the results.
        :param load: load of the shard.
        """
        makers = tuple(dict.fromkeys((each.maker, each.zone) for each in results))
        numbers = {maker: number for number, maker in enumerate(makers)}
        return cls(
            tuple(each.handle for each in results),
            makers,
            tuple(numbers[each.maker, each.zone] for each in results),
            {at: each.fault for at, each in enumerate(results) if each.fault},
            load,
        )

    def unpack(self) -> tuple[PieceResult, ...]:
        """Return the results.

        :raises MessageError: if the parts of the message don't fit together.
        """
        if len(self.handles) != len(self.made_by):
            raise MessageError("handles and makers differ in number")
        if any(not 0 <= number < len(self.makers) for number in self.made_by):
            raise MessageError("a result's maker is not in the message")
        return tuple(
            PieceResult(handle, self.faults.get(at), *reversed(self.makers[number]))
            for at, (handle, number) in enumerate(
                zip(self.handles, self.made_by, strict=True)
            )
        )


class PieceRelease(msgspec.Struct, frozen=True):
    """Releases results that are no longer needed.

    Sent with ``POST /v1/pieces-release`` to the batching host of the shard whose
    targets store the results.
    """

    #: The service that produced the results.
    service: str
    #: Handles of the results.
    handles: tuple[str, ...]
    #: Number of that shard.
    shard: int = 0


class ReadyStage(msgspec.Struct, frozen=True):
    """A stage of a request that can start."""

    #: Number of the stage in the route.
    number: int
    #: The service that processes the stage.
    service: str
    #: Number of pieces.
    pieces: int
    #: Identifies the source data that pieces of a first stage read; empty in later
    #: stages.
    key: str
    #: Handles of the earlier results that each piece of a later stage reads.
    inputs: tuple[str, ...]


class StageRun:
    """Progress of the stages that prepare the inputs of one request.

    :param stages: the stages of the request's route.
    :param counts: number of pieces of each stage.
    :param key: identifies the source data that pieces of first stages read.
    """

    def __init__(
        self, stages: Sequence[StagePlan], counts: Sequence[int], key: str
    ) -> None:
        self._stages = tuple(stages)
        self._piece_counts = tuple(counts) + (0,) * (len(self._stages) - len(counts))
        self._key = key
        self._results: dict[int, tuple[PieceResult, ...]] = {}
        self._started: set[int] = set()
        self._released: set[int] = set()
        self._depths = _measure_depths(self._stages)

    def release_unneeded(self) -> list[PieceRelease]:
        """Release the results that no later stage of this request needs any more.

        The results that the request itself reads are not among them.

        :returns: the releases, one for each service that produced such results.
        """
        required = self._find_required_stages()
        spent = {
            number
            for number in required
            if all(
                dependent in self._results
                for dependent, stage in enumerate(self._stages)
                if number in stage.after
            )
        }
        return self._release(spent)

    def release_all(self) -> list[PieceRelease]:
        """Release all results that were not released before, by service."""
        return self._release(set(self._results))

    def _release(self, numbers: set[int]) -> list[PieceRelease]:
        by_service: dict[str, list[str]] = {}
        for number in sorted(numbers - self._released):
            handles = [x.handle for x in self._results.get(number, ()) if x.handle]
            if handles:
                service = self._stages[number].service
                by_service.setdefault(service, []).extend(handles)
        self._released |= numbers & set(self._results)
        return [
            PieceRelease(name, tuple(handles)) for name, handles in by_service.items()
        ]

    @property
    def is_done(self) -> bool:
        """Whether every stage has results."""
        return len(self._results) == len(self._stages)

    @property
    def inputs(self) -> tuple[PieceResult, ...]:
        """Results that the request itself reads: those on which no stage depends."""
        required = self._find_required_stages()
        return tuple(
            result
            for number in range(len(self._stages))
            if number not in required
            for result in self._results.get(number, ())
        )

    def sum_input_mb(self) -> dict[str, float]:
        """Sum up the megabytes of the request's inputs by zone."""
        required = self._find_required_stages()
        sizes: dict[str, float] = {}
        for number, stage in enumerate(self._stages):
            if number in required:
                continue
            for result in self._results.get(number, ()):
                size_mb = stage.result_bytes / 1e6
                sizes[result.zone] = sizes.get(result.zone, 0.0) + size_mb
        return sizes

    def find_input_location(self, number: int) -> tuple[str, float]:
        """Find where the inputs of a stage are stored, and how large they are.

        :param number: the stage.
        :returns: the zone that stores most of them, and the bytes that all pieces of
            the stage read together.
        """
        by_zone: dict[str, float] = {}
        for dependency in self._stages[number].after:
            size = float(self._stages[dependency].result_bytes)
            for result in self._results.get(dependency, ()):
                by_zone[result.zone] = by_zone.get(result.zone, 0.0) + size
        zone = max(by_zone, key=lambda each: by_zone[each], default="")
        return zone, sum(by_zone.values()) * self._piece_counts[number]

    def is_last(self, number: int) -> bool:
        """Whether the request itself reads a stage's results."""
        return number not in self._find_required_stages()

    def count_stages_left(self, number: int) -> int:
        """Count the stages of the longest chain that begins with a stage."""
        return self._depths[number]

    def find_read_bytes(self, number: int) -> float:
        """Find how many bytes of a stage's results will be read.

        Each piece of a later stage reads all results of the stages that it follows.

        :param number: the stage.
        :returns: the bytes, counting results as often as they are read.
        """
        readers = sum(
            self._piece_counts[later]
            for later, stage in enumerate(self._stages)
            if number in stage.after
        )
        readers += self.is_last(number)
        size = float(self._stages[number].result_bytes)
        return size * self._piece_counts[number] * readers

    @property
    def has_results(self) -> bool:
        """Whether any stage with pieces has results."""
        return any(self._results.values())

    def start_ready_stages(self) -> list[ReadyStage]:
        """Start the stages that can start now.

        A stage is delayed while a longer chain of stages has not started: its results
        would only occupy storage until the chain ends.

        :returns: the started stages.
        """
        ready: list[ReadyStage] = []
        max_depth = max(
            (x for n, x in enumerate(self._depths) if n not in self._started), default=0
        )
        for number, stage in enumerate(self._stages):
            has_inputs = all(x in self._results for x in stage.after)
            if number in self._started or not has_inputs:
                continue
            if self._depths[number] < max_depth and self._piece_counts[number]:
                continue
            self._started.add(number)
            if not self._piece_counts[number]:
                self._results[number] = ()
                return [*ready, *self.start_ready_stages()]
            ready.append(self._build_ready_stage(number, stage))
        return ready

    def record_results(self, number: int, results: Sequence[PieceResult]) -> None:
        """Record the results of a stage."""
        self._results[number] = tuple(results)

    def _build_ready_stage(self, number: int, stage: StagePlan) -> ReadyStage:
        inputs = [
            each for dependency in stage.after for each in self._results[dependency]
        ]
        return ReadyStage(
            number,
            stage.service,
            self._piece_counts[number],
            "" if stage.after else self._key,
            tuple(result.handle for result in inputs),
        )

    def _find_required_stages(self) -> set[int]:
        """Find the stages on which another stage depends."""
        return {number for stage in self._stages for number in stage.after}


def _measure_depths(stages: Sequence[StagePlan]) -> tuple[int, ...]:
    """Find, for each stage, the length of the longest chain that starts with it."""
    depths = [1] * len(stages)
    for number in reversed(range(len(stages))):
        for dependency in stages[number].after:
            depths[dependency] = max(depths[dependency], depths[number] + 1)
    return tuple(depths)
