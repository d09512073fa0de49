"""Tests of lagging replicas: batches, snapshots in chunks, and lost messages."""

from __future__ import annotations

import crc32c
import msgspec
import pytest

from bramleyspread_control import ControlTimings
from bramleyspread_control._documents import DocumentStateMachine
from bramleyspread_control._entries import Entry, Noop
from bramleyspread_control._messages import AppendRequest, SnapshotChunk
from bramleyspread_control.tests._cluster import Cluster, document
from bramleyspread_control.tests.test_leader_state import MEMBERS, B, make_replica
from bramleyspread_core import Accepted, SubmitDocument


@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("retained_log_entries", [1, 500])
def test_lagging_replica_catches_up(loss: float, retained_log_entries: int) -> None:
    """Seven documents of 200 kB need several snapshot chunks or several batches."""
    timings = ControlTimings(
        checkpoint_min_records=4, retained_log_entries=retained_log_entries
    )
    cluster = Cluster(3, timings=timings)
    leader = cluster.run_until_leader()
    lagging = next(name for name in "abc" if name != leader)
    cluster.kill(lagging)
    padding = f"# {'x' * 200_000}\n"
    for number in range(7):
        text = document(f"s{number}", extra=padding)
        submitted = SubmitDocument(f"c{number}", "ana", text)
        assert isinstance(cluster.call(submitted), Accepted)
    cluster.run(1.0)
    cluster.loss = loss
    cluster.start(lagging)
    cluster.run(10.0)
    assert len(cluster.nodes[lagging].list_documents()) == 7
    kinds = {each.kind for _, host, each in cluster.events if host == lagging}
    assert ("snapshot-installed" in kinds) == (retained_log_entries == 1)


VALID_ENTRY = Entry.from_change(1, 3, Noop())


@pytest.mark.parametrize(
    "entry",
    [
        msgspec.structs.replace(VALID_ENTRY, index=3),
        msgspec.structs.replace(VALID_ENTRY, term=9),
        msgspec.structs.replace(VALID_ENTRY, change=msgspec.Raw(b"{}")),
        msgspec.structs.replace(VALID_ENTRY, change=msgspec.Raw(b'{"type":"claim"}')),
    ],
)
def test_append_request_with_invalid_entries_is_ignored(entry: Entry) -> None:
    replica = make_replica()
    replica.receive(
        B, AppendRequest(0, 3, 0, 0, (VALID_ENTRY, entry), 0, True, 1.0), 1.0, True
    )
    assert replica.log.last_index == 0
    assert [each.kind for each in replica.consensus.events] == ["message-refused"]


@pytest.mark.parametrize("fault", ["", "checksum", "content"])
def test_only_a_valid_snapshot_is_installed(fault: str) -> None:
    replica = make_replica()
    data = DocumentStateMachine(10).encode() if fault != "content" else b"[]"
    checksum = crc32c.crc32c(data) + (fault == "checksum")
    parts = (0, data[:1]), (1, data[1:])
    for offset, part in parts:
        chunk = SnapshotChunk(
            0, 3, 7, 2, MEMBERS, len(data), checksum, offset, part, 1.0
        )
        replica.receive(B, chunk, 1.0, True)
    assert replica.log.last_index == (0 if fault else 7)
    assert replica.follower_state.snapshot_installed == (not fault)
