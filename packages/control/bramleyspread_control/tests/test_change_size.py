"""Changes that are too large to be replicated, and the largest ones that are not."""

from __future__ import annotations

import heapq
from collections import Counter

from bramleyspread_control.tests._cluster import Cluster
from bramleyspread_core import (
    MAX_CHANGE_BYTES,
    Deployment,
    DeploymentAccepted,
    DeploymentDiffers,
    PeerSend,
    PutDeployment,
    Rejected,
    encode_json,
)

#: Rate of the links of a slow cluster, in bytes a second.
LINK_RATE = 10_000_000


def make_change(version: int, size: int) -> PutDeployment:
    """Make a change whose JSON has a size, in bytes."""
    deployment = Deployment(version=version, routes=(), services=())
    empty = len(encode_json(PutDeployment(deployment, "")))
    return PutDeployment(deployment, "x" * (size - empty))


class SlowCluster(Cluster):
    """A cluster in which each pair of hosts has a link of limited rate."""

    def __init__(self, size: int) -> None:
        #: Bytes of messages by receiver.
        self.sent_bytes: Counter[str] = Counter()
        self._free_at: dict[tuple[str, str], float] = {}
        super().__init__(size)

    def flush(self, name: str) -> None:
        known = {each[1] for each in self._in_flight}
        super().flush(name)
        for index, (due, number, send) in enumerate(self._in_flight):
            if number not in known:
                self._in_flight[index] = (self._delay(send, due), number, send)
        heapq.heapify(self._in_flight)

    def _delay(self, send: PeerSend, due: float) -> float:
        size = len(memoryview(send.message.body))
        self.sent_bytes[send.message.receiver] += size
        link = send.message.sender, send.message.receiver
        free_at = max(due, self._free_at.get(link, 0.0)) + size / LINK_RATE
        self._free_at[link] = free_at
        return free_at


# Guards against a change that the leader accepts but no other host can receive: it
# blocked the log for good, and every later change with it.
def test_change_over_the_limit_is_rejected_and_blocks_nothing() -> None:
    cluster = Cluster(3)
    cluster.run_until_leader()
    result = cluster.call(make_change(1, MAX_CHANGE_BYTES + 1))
    assert isinstance(result, Rejected)
    assert str(MAX_CHANGE_BYTES) in result.faults[0]
    assert cluster.call(make_change(1, MAX_CHANGE_BYTES)) == DeploymentAccepted(1)
    assert cluster.call(make_change(2, 1_000)) == DeploymentAccepted(2)


# Guards against large entries that are sent again while they are still on their way, so
# that the answers to heartbeats behind them come too late for the leader.
def test_largest_change_is_sent_once_and_keeps_the_leader() -> None:
    cluster = SlowCluster(3)
    leader = cluster.run_until_leader()
    cluster.run(5.0)
    cluster.sent_bytes.clear()
    assert cluster.call(make_change(1, MAX_CHANGE_BYTES)) == DeploymentAccepted(1)
    cluster.run(2.0)
    assert cluster.find_leader() == leader
    for name in set(cluster.nodes) - {leader}:
        assert cluster.nodes[name].deployment == make_change(1, 1_000).deployment
        assert cluster.sent_bytes[name] < 1.5 * MAX_CHANGE_BYTES


# Guards against operators that ask again while a large change is undecided, or later:
# each repetition was appended, sent and synced as another entry of the same size.
def test_repeated_change_is_not_appended_again() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    cluster.run(2.0)
    change = make_change(1, MAX_CHANGE_BYTES)
    log = cluster.nodes[leader]._store.replicas[0].log
    before = log.last_index
    tickets = [cluster.propose(leader, change) for _ in range(8)]
    cluster.run(1.0)
    tickets += [cluster.propose(leader, change) for _ in range(8)]
    cluster.run(1.0)
    assert {cluster.replies[each] for each in tickets} == {DeploymentAccepted(1)}
    assert log.last_index == before + 1


# Guards against a repetition that is answered from a state that isn't confirmed.
def test_repeated_change_needs_a_confirmed_leader() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    assert cluster.call(make_change(1, 1_000)) == DeploymentAccepted(1)
    cluster.isolate(leader)
    cluster.run(3.0)
    ticket = cluster.propose(leader, make_change(1, 1_000))
    cluster.run(1.0)
    assert cluster.replies[ticket] != DeploymentAccepted(1)


# Guards against two contents of one version that are both acknowledged.
def test_other_content_of_an_undecided_version_is_refused() -> None:
    cluster = Cluster(3)
    leader = cluster.run_until_leader()
    cluster.run(2.0)
    first = cluster.propose(leader, make_change(1, 1_000))
    other = cluster.propose(leader, make_change(1, 2_000))
    cluster.run(1.0)
    late = cluster.propose(leader, make_change(1, 2_000))
    cluster.run(1.0)
    assert cluster.replies[first] == DeploymentAccepted(1)
    assert cluster.replies[other] == DeploymentDiffers(1)
    assert cluster.replies[late] == DeploymentDiffers(1)
