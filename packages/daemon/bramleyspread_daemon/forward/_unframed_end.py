"""Whether an answer without a length has ended, or has broken off.

Such an answer ends with its connection. The operating system closes the connections of
a process that crashes in the same way, unless bytes are left that it has not read.
"""

from __future__ import annotations

import curio

from bramleyspread_daemon._clock import read_monotonic
from bramleyspread_daemon.forward._relayed_connection import PROCESS_END_S
from bramleyspread_daemon.forward._upstream_pool import UpstreamPool
from bramleyspread_forwarding import ForwardTarget, TargetTable

#: Time before the end of a request's time in which its target may stop work, in
#: seconds.
STOP_MARGIN_S = 0.01


class UnframedEnd:
    """The end of an answer without a length.

    :param target: the target that answered.
    :param deadline: when the request's time is over, in monotonic seconds.
    """

    __slots__ = ("_deadline", "_target")

    def __init__(self, target: ForwardTarget, deadline: float) -> None:
        self._target = target
        self._deadline = deadline

    async def find_break(self, pool: UpstreamPool, targets: TargetTable) -> str:
        """Find why the answer isn't whole.

        :param pool: connections to targets.
        :param targets: the known targets.
        :returns: why; empty if nothing speaks against it.
        """
        target = self._target
        if read_monotonic() >= self._deadline - STOP_MARGIN_S:
            return "ended as its time was over"
        if targets.has_departed(target.target, target.born):
            # It may end as soon as it has answered.
            return ""
        await curio.sleep(PROCESS_END_S)
        if await pool.is_refused(target.address):
            return "ended together with its target"
        return ""
