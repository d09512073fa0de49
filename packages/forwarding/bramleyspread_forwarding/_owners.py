"""Which entry host gathers the pieces of a service."""

from __future__ import annotations

from collections.abc import Sequence

import xxhash

from bramleyspread_forwarding._feed import EntryHost


def find_gatherer(service: str, hosts: Sequence[EntryHost]) -> EntryHost | None:
    """Find the host that gathers for a service; the same from every host.

    A process that started again weighs anew, so that a host that comes back does
    not, as a rule, take the work over from the one that stood in for it.

    :param service: the service.
    :param hosts: the entry hosts that are there.
    :returns: the host; None when there is none.
    """

    def weigh(each: EntryHost) -> int:
        return int(xxhash.xxh3_64_intdigest(f"{service}/{each.host}/{each.started}"))

    return max(hosts, key=weigh, default=None)
