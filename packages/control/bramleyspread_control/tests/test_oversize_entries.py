"""Changes over the limit that earlier builds accepted: they are handed on."""

from __future__ import annotations

import pytest

from bramleyspread_control._entries import encode_change
from bramleyspread_control.tests._cluster import Cluster
from bramleyspread_control.tests.test_change_size import SlowCluster, make_change
from bramleyspread_core import MAX_CHANGE_BYTES, DeploymentAccepted, PeerSend

#: Size of a change that an earlier build accepted, in bytes.
OVERSIZE = 3 * MAX_CHANGE_BYTES
#: Size from which messages do not delay the others, in bytes.
LARGE_BYTES = 100_000


class ChannelCluster(SlowCluster):
    """A slow cluster whose large messages do not delay the small ones."""

    def _delay(self, send: PeerSend, due: float) -> float:
        if len(memoryview(send.message.body)) < LARGE_BYTES:
            return due
        return super()._delay(send, due)


def append_as_earlier_builds(cluster: Cluster, name: str, version: int) -> None:
    """Append an oversize change to a leader's log, without a check of its size."""
    change = encode_change(make_change(version, OVERSIZE))
    replica = cluster.nodes[name]._store.replicas[0]
    assert replica.propose(change, cluster.now) is not None


def check_all_serve(cluster: Cluster, version: int) -> None:
    assert cluster.call(make_change(version, 1_000)) == DeploymentAccepted(version)
    cluster.run(5.0)
    for node in cluster.nodes.values():
        assert node.deployment is not None
        assert node.deployment.version == version


# Guards against an oversize entry in one journal that blocks the log of all hosts after
# an upgrade; that host alone may be elected, or another one that lacks the entry.
@pytest.mark.parametrize("others_first", [False, True])
@pytest.mark.parametrize("network", [SlowCluster, ChannelCluster])
def test_oversize_entry_of_a_journal_blocks_nothing(
    network: type[SlowCluster], *, others_first: bool
) -> None:
    cluster = network(3)
    leader = cluster.run_until_leader()
    cluster.run(2.0)
    cluster.isolate(leader, inward=False)
    append_as_earlier_builds(cluster, leader, 1)
    cluster.flush(leader)
    names = sorted(cluster.nodes, key=lambda each: (each == leader) is others_first)
    for name in names:
        cluster.kill(name, power_cut=True)
    cluster.heal()
    for name in names:
        cluster.start(name)
        cluster.run(0.5)
    check_all_serve(cluster, 2)


# Guards against a state that no host can hand on to one that lost its disk.
@pytest.mark.parametrize("network", [SlowCluster, ChannelCluster])
def test_oversize_state_reaches_a_host_without_a_disk(
    network: type[SlowCluster],
) -> None:
    cluster = network(3)
    leader = cluster.run_until_leader()
    cluster.run(2.0)
    append_as_earlier_builds(cluster, leader, 1)
    cluster.run(8.0)
    lost = next(each for each in sorted(cluster.nodes) if each != cluster.find_leader())
    cluster.lose_disk(lost)
    cluster.start(lost)
    cluster.run(10.0)
    check_all_serve(cluster, 2)
