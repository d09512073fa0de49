"""What one control host has heard of targets, in the order of hearing."""

from __future__ import annotations

import msgspec

from bramleyspread_forwarding._notices import Readiness, TargetChange, TargetNotice

#: Heartbeats that may be missed before a target counts as gone.
MISSED_BEATS = 4
#: How long a target that is gone is remembered, in seconds; a heartbeat that was
#: held up on its way must not bring it back.
REMEMBERED_S = 120.0


class _Entry:
    """One target."""

    __slots__ = ("change", "heard", "position")

    def __init__(self, change: TargetChange, heard: float, position: int) -> None:
        #: What is known.
        self.change = change
        #: When it was last heard, in seconds.
        self.heard = heard
        #: When it last changed, as a number of changes.
        self.position = position


class TargetRegistry:
    """Targets by id; each change gets the next position.

    Leaving goes before any heartbeat of the same start, however late it comes.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self._silence_s = heartbeat_s * MISSED_BEATS
        self._entries: dict[str, _Entry] = {}
        #: Changes so far.
        self.position = 0

    def hear(self, notice: TargetNotice, now: float) -> bool:
        """Take a heartbeat.

        :param notice: the heartbeat.
        :param now: seconds.
        :returns: whether it changed what is known.
        """
        entry = self._entries.get(notice.target)
        if entry is None:
            self._put(TargetChange(notice), now)
            return True
        known = entry.change.notice
        if notice.order <= known.order:
            return False
        entry.heard = now
        same_start = notice.born == known.born
        left = known.readiness is Readiness.GONE and not entry.change.silent
        if same_start and left:
            return False
        if same_start and known.readiness is Readiness.DRAINING:
            notice = msgspec.structs.replace(notice, readiness=Readiness.DRAINING)
        changed = entry.change.silent or not _is_alike(notice, known)
        if changed:
            self._put(TargetChange(notice), now)
        else:
            entry.change = TargetChange(notice)
        return changed

    def leave(self, target: str, born: int, now: float) -> None:
        """Take a target's word that it leaves.

        :param target: its id.
        :param born: which start of it says so; 0 when it does not tell.
        :param now: seconds.
        """
        entry = self._entries.get(target)
        if entry is None or 0 < born < entry.change.notice.born:
            return
        notice = msgspec.structs.replace(entry.change.notice, readiness=Readiness.GONE)
        self._put(TargetChange(notice), now)

    def tick(self, now: float) -> None:
        """Let time pass: silent targets are gone, old ones forgotten."""
        for target, entry in tuple(self._entries.items()):
            silence = now - entry.heard
            if entry.change.notice.readiness is not Readiness.GONE:
                if silence > self._silence_s:
                    notice = msgspec.structs.replace(
                        entry.change.notice, readiness=Readiness.GONE
                    )
                    self._put(TargetChange(notice, silent=True), entry.heard)
            elif silence > REMEMBERED_S:
                del self._entries[target]

    def list_changes(self, position: int) -> tuple[TargetChange, ...]:
        """List what changed behind a position.

        :param position: changes that the asker knows.
        :returns: the newest state of each target that changed since.
        """
        return tuple(
            entry.change
            for entry in self._entries.values()
            if entry.position > position
        )

    def _put(self, change: TargetChange, heard: float) -> None:
        self.position += 1
        self._entries[change.notice.target] = _Entry(change, heard, self.position)


def _is_alike(notice: TargetNotice, known: TargetNotice) -> bool:
    """Whether a heartbeat says what the one before it said."""
    return msgspec.structs.replace(notice, sequence=known.sequence) == known
