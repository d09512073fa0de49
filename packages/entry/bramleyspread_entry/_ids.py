"""Ids of requests and attempts, unique across hosts and restarts."""

from __future__ import annotations

from bramleyspread_core import AttemptId, RequestId


class IdSource:
    """Generates the ids of the requests that a host receives.

    >>> ids = IdSource("entry-1", 7)
    >>> ids.next_request(), ids.next_request()
    ('entry-1.7.1', 'entry-1.7.2')
    """

    __slots__ = ("_count", "_prefix")

    def __init__(self, host: str, incarnation: int) -> None:
        self._prefix = f"{host}.{incarnation}"
        self._count = 0

    def next_request(self) -> RequestId:
        """Make the id of a new request.

        :returns: an id that no other request of any host ever has, as long as the
            incarnation increases at each start of the host.
        """
        self._count += 1
        return RequestId(f"{self._prefix}.{self._count}")


def make_attempt_id(request: RequestId, number: int) -> AttemptId:
    """Make the id of one attempt.

    :param request: the request.
    :param number: number of the attempt within the request, from 1.
    :returns: an id as unique as the request's.

    >>> make_attempt_id(RequestId("entry-1.7.1"), 2)
    'entry-1.7.1-2'
    """
    return AttemptId(f"{request}-{number}")
