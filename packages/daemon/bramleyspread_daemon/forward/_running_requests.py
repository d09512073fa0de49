"""The callers' requests that are under way, and their end when their host stops."""

from __future__ import annotations

from collections.abc import Sequence

import curio

from bramleyspread_daemon.forward._request_forwarder import RequestForwarder


class RunningRequests:
    """The requests that are under way, each in a task of its own."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: dict[RequestForwarder, curio.Task] = {}

    async def run(self, forwarder: RequestForwarder) -> None:
        """Run a request in the current task."""
        self._tasks[forwarder] = await curio.current_task()
        try:
            await forwarder.run()
        finally:
            del self._tasks[forwarder]

    async def answer_waiting(self) -> int:
        """End the requests whose answers have not begun; return their number."""
        return await self._end([x for x in self._tasks if not x.has_begun])

    async def end_all(self) -> int:
        """End all requests; return their number."""
        return await self._end(list(self._tasks))

    async def _end(self, forwarders: Sequence[RequestForwarder]) -> int:
        """End requests; each is answered once its task has ended.

        Until then a target could get a request that is promised not to have run.
        """
        tasks = [self._tasks[each] for each in forwarders]
        for forwarder in forwarders:
            forwarder.is_ended_by_stop = True
        for task in tasks:
            await task.cancel(blocking=False)
        for forwarder, task in zip(forwarders, tasks, strict=True):
            await task.wait()
            forwarder.end_by_stop()
        return len(forwarders)
