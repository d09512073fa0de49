"""Ids of requests and attempts, unique for ever."""

from __future__ import annotations

from bramleyspread_core import AttemptId, RequestId


class IdSource:
    """A host's source of request ids.

    >>> ids = IdSource("entry-1", 7)
    >>> ids.next_request(), ids.next_request()
    ('entry-1.7.1', 'entry-1.7.2')
    """

    __slots__ = ("_count", "_stem")

    def __init__(self, host: str, incarnation: int) -> None:
        self._stem = f"{host}.{incarnation}"
        self._count = 0

    def next_request(self) -> RequestId:
        """Make the id of a new request.

        :returns: an id that no other request of any host ever has.
        """
        self._count += 1
        return RequestId(f"{self._stem}.{self._count}")


def name_attempt(request: RequestId, number: int) -> AttemptId:
    """Make the id of one attempt.

    :param request: the request that it works for.
    :param number: which of the request's attempts it is, from 1.
    :returns: an id as unique as the request's.

    >>> name_attempt(RequestId("entry-1.7.1"), 2)
    'entry-1.7.1-2'
    """
    return AttemptId(f"{request}-{number}")
