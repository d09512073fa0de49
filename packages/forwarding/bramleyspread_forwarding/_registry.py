"""State of the targets that send heartbeats to one control host."""

from __future__ import annotations

import math

import msgspec

from bramleyspread_forwarding._heartbeats import (
    Readiness,
    TargetChange,
    TargetHeartbeat,
)

#: Number of heartbeats that a target may miss before it counts as gone.
MAX_MISSED_HEARTBEATS = 4
#: How long a target that is gone is remembered after its last message, in seconds, so
#: that a delayed heartbeat does not make it ready again.
GONE_RETENTION_S = 120.0
#: Maximum size of all targets' states, in bytes as JSON: one page of the feed may have
#: to hold them all.
MAX_REGISTRY_BYTES = 6_291_456
#: Difference from the expected end of a warm-up from which it is a change, in seconds.
WARM_UP_TOLERANCE_S = 0.5


class _TargetState:
    """State of one target."""

    __slots__ = ("change", "last_message_at", "position", "size", "warm_up_ends_at")

    def __init__(
        self,
        change: TargetChange,
        last_message_at: float,
        position: int,
        warm_up_ends_at: float,
    ) -> None:
        #: The target's state, as it is sent to entry hosts.
        self.change = change
        #: When its last heartbeat or departure announcement was received, in seconds.
        self.last_message_at = last_message_at
        #: Position of its last change in the registry's sequence of changes.
        self.position = position
        #: Size in a page of the feed, in bytes.
        self.size = _measure(change)
        #: When its warm-up ends, as entry hosts were told, in seconds.
        self.warm_up_ends_at = warm_up_ends_at


class TargetRegistry:
    """Targets by id; each change of a target gets the next position.

    When a process of a target has announced that it leaves, later heartbeats of the
    same process are ignored.

    :param heartbeat_s: interval between two heartbeats of a target, in seconds.
    :param max_bytes: maximum size of all targets' states, in bytes as JSON.
    """

    def __init__(self, heartbeat_s: float, max_bytes: int = MAX_REGISTRY_BYTES) -> None:
        self._max_bytes = max_bytes
        self._silence_limit_s = heartbeat_s * MAX_MISSED_HEARTBEATS
        self._entries: dict[str, _TargetState] = {}
        # Silent targets, in the order in which they fell silent.
        self._silent: dict[str, None] = {}
        #: Position of the newest change.
        self.position = 0
        #: Size of all targets' states, in bytes as JSON.
        self.size = 0

    def find_room(self, notice: TargetHeartbeat) -> bool:
        """Find room for a heartbeat; silent targets may be forgotten for it.

        :param notice: the heartbeat.
        :returns: whether there is room; heartbeats without room may not be handled.
        """
        known = self._entries.get(notice.target)
        added = _measure(TargetChange(notice)) - (known.size if known else 0)
        while self.size + added > self._max_bytes:
            oldest = next((x for x in self._silent if x != notice.target), None)
            if oldest is None:
                return False
            self._remove(oldest)
        return True

    def handle_heartbeat(self, notice: TargetHeartbeat, now: float) -> bool:
        """Handle a heartbeat.

        :param notice: the heartbeat.
        :param now: the current time, in seconds.
        :returns: whether it changed the target's state.
        """
        entry = self._entries.get(notice.target)
        warm_up_ends_at = now + notice.warm_up_left_ms / 1000
        if entry is None:
            self._record_change(TargetChange(notice), now, warm_up_ends_at)
            return True
        known = entry.change.notice
        if notice.sort_key <= known.sort_key:
            return False
        entry.last_message_at = now
        is_same_process = notice.born == known.born
        has_left = known.readiness is Readiness.GONE and not entry.change.silent
        if is_same_process and has_left:
            return False
        if is_same_process and known.readiness is Readiness.DRAINING:
            notice = msgspec.structs.replace(notice, readiness=Readiness.DRAINING)
        changed = (
            entry.change.silent
            or not _is_unchanged(notice, known)
            or _has_warm_up_changed(notice, entry.warm_up_ends_at, warm_up_ends_at)
        )
        if changed:
            self._record_change(TargetChange(notice), now, warm_up_ends_at)
        else:
            entry.change = TargetChange(notice)
        return changed

    def handle_departure(self, target: str, born: int, now: float) -> None:
        """Handle a target's announcement that it leaves.

        :param target: the target's id.
        :param born: the start time of the process that leaves; 0 when unknown.
        :param now: the current time, in seconds.
        """
        entry = self._entries.get(target)
        if entry is None or 0 < born < entry.change.notice.born:
            return
        notice = msgspec.structs.replace(entry.change.notice, readiness=Readiness.GONE)
        self._record_change(TargetChange(notice), now)

    def handle_reported_departure(self, target: str, born: int, now: float) -> bool:
        """Handle an entry host's report that a target has said that it leaves.

        :param target: the target's id.
        :param born: the start time of the process that leaves; 0 when unknown.
        :param now: the current time, in seconds.
        :returns: whether it changed the target's state.
        """
        entry = self._entries.get(target)
        if entry is None or born < entry.change.notice.born:
            return False
        if entry.change.notice.readiness is not Readiness.READY:
            return False
        notice = msgspec.structs.replace(
            entry.change.notice, readiness=Readiness.DRAINING
        )
        self._record_change(TargetChange(notice), entry.last_message_at)
        return True

    def tick(self, now: float) -> None:
        """Mark silent targets as gone, and remove those gone for long enough."""
        for target, entry in tuple(self._entries.items()):
            silence = now - entry.last_message_at
            if entry.change.notice.readiness is not Readiness.GONE:
                if silence > self._silence_limit_s:
                    notice = msgspec.structs.replace(
                        entry.change.notice, readiness=Readiness.GONE
                    )
                    self._record_change(
                        TargetChange(notice, silent=True), entry.last_message_at
                    )
            elif silence > GONE_RETENTION_S:
                self._remove(target)

    def list_changes(
        self, position: int, now: float | None = None
    ) -> tuple[TargetChange, ...]:
        """List the targets that changed after a position.

        :param position: the position up to which the requester knows all changes.
        :param now: the current time, in seconds, from which remaining warm-ups count;
            None for the times of the heartbeats.
        :returns: the newest state of each target that changed since.
        """
        return tuple(
            _update_warm_up(entry, now)
            for entry in self._entries.values()
            if entry.position > position
        )

    def _record_change(
        self,
        change: TargetChange,
        last_message_at: float,
        warm_up_ends_at: float | None = None,
    ) -> None:
        self.position += 1
        target = change.notice.target
        if warm_up_ends_at is None:
            warm_up_ends_at = self._entries[target].warm_up_ends_at
        self._remove(target)
        state = _TargetState(change, last_message_at, self.position, warm_up_ends_at)
        self._entries[target] = state
        self.size += state.size
        if change.silent:
            self._silent[target] = None

    def _remove(self, target: str) -> None:
        self._silent.pop(target, None)
        removed = self._entries.pop(target, None)
        if removed is not None:
            self.size -= removed.size


def _measure(change: TargetChange) -> int:
    """Return the size of a target's state in a list, in bytes as JSON."""
    return len(msgspec.json.encode(change)) + 1


def _is_unchanged(notice: TargetHeartbeat, known: TargetHeartbeat) -> bool:
    """Whether two heartbeats differ only in their sequence numbers and warm-ups."""
    return (
        msgspec.structs.replace(
            notice, sequence=known.sequence, warm_up_left_ms=known.warm_up_left_ms
        )
        == known
    )


def _has_warm_up_changed(
    notice: TargetHeartbeat, known_ends_at: float, ends_at: float
) -> bool:
    """Whether a warm-up has begun, grown, or ends earlier than entry hosts were told.

    Heartbeats take different times to arrive, so small differences are no change.
    """
    if notice.warm_up_left_ms and ends_at > known_ends_at + WARM_UP_TOLERANCE_S:
        return True
    return ends_at < known_ends_at - WARM_UP_TOLERANCE_S


def _update_warm_up(entry: _TargetState, now: float | None) -> TargetChange:
    """Return a target's state with the warm-up that remains at a time."""
    change = entry.change
    if now is None or not change.notice.warm_up_left_ms:
        return change
    left_ms = max(math.ceil((entry.warm_up_ends_at - now) * 1000), 0)
    notice = msgspec.structs.replace(change.notice, warm_up_left_ms=float(left_ms))
    return TargetChange(notice, change.silent)
