"""Fuzz tests: invalid messages, files and records cause errors, but no crash."""

from __future__ import annotations

import random
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bramleyspread_control import CorruptFileError, MemoryDisk
from bramleyspread_control._records import encode_record, read_records
from bramleyspread_control.tests._cluster import Cluster, submit
from bramleyspread_control.tests.test_store import COMMANDS, run, start
from bramleyspread_core import HostName, PeerMessage

FUZZ = settings(derandomize=True, deadline=None, max_examples=150)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 2**40) | st.text(max_size=5),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(max_size=5), children, max_size=3),
    max_leaves=8,
)


def record_message_bodies() -> list[Any]:
    """Return the bodies of all messages to one of three hosts in a short run."""
    cluster = Cluster(3)
    bodies: list[Any] = []
    cluster.run_until_leader()
    deliver = cluster.nodes["b"].receive

    def record(message: PeerMessage, now: float) -> None:
        bodies.append(msgspec.json.decode(bytes(message.body)))
        deliver(message, now)

    cluster.nodes["b"].receive = record  # type: ignore[method-assign]
    cluster.call(submit("c1"))
    cluster.run(1.0)
    return bodies


BODIES = record_message_bodies()


def mutate(value: Any, rng: random.Random, junk: Any) -> Any:  # noqa: ANN401
    """Replace a random part of a JSON value at any depth."""
    if isinstance(value, dict) and value and rng.random() < 0.85:
        key = rng.choice(sorted(value))
        return {**value, key: mutate(value[key], rng, junk)}
    if isinstance(value, list) and value and rng.random() < 0.85:
        index = rng.randrange(len(value))
        return [*value[:index], mutate(value[index], rng, junk), *value[index + 1 :]]
    return junk


@FUZZ
@given(seed=st.integers(0, 2**32), junk=JSON)
def test_mutated_messages_do_not_crash_a_host(seed: int, junk: Any) -> None:  # noqa: ANN401
    rng = random.Random(seed)
    cluster = Cluster(3)
    cluster.run(0.3)
    for _ in range(4):
        body = msgspec.Raw(msgspec.json.encode(mutate(rng.choice(BODIES), rng, junk)))
        for receiver in "ab":
            message = PeerMessage(HostName("c"), HostName(receiver), body)
            cluster.nodes[receiver].receive(message, cluster.now)
            cluster.flush(receiver)
        cluster.run(0.1)


@FUZZ
@given(data=st.binary(max_size=200))
def test_random_bytes_are_refused_as_a_message(data: bytes) -> None:
    cluster = Cluster(1)
    cluster.run_until_leader()
    body = msgspec.Raw(data)
    for sender in ("a", "b"):
        message = PeerMessage(HostName(sender), HostName("a"), body)
        cluster.nodes["a"].receive(message, cluster.now)
    refused = cluster.nodes["a"].flush(cluster.now).events
    assert refused[-1].kind == "message-refused"


@FUZZ
@given(contents=st.lists(st.binary(min_size=1, max_size=30)), tail=st.binary())
def test_encoded_records_are_read_back(contents: list[bytes], tail: bytes) -> None:
    data = b"".join(encode_record(each) for each in contents)
    found_records, end = read_records(data + tail)
    assert [content for _, content in found_records][: len(contents)] == contents
    assert end >= len(data)


@FUZZ
@given(seed=st.integers(0, 2**32), junk=JSON)
def test_mutated_records_do_not_crash_a_start(seed: int, junk: Any) -> None:  # noqa: ANN401
    """Invalid records with valid checksums raise an error that names the file."""
    rng = random.Random(seed)
    disk = MemoryDisk()
    run(start(disk), COMMANDS)
    name = rng.choice([each for each in disk.list_names() if each != "witness"])
    found_records, _ = read_records(disk.read(name))
    records = [msgspec.json.decode(content) for _, content in found_records]
    index = rng.randrange(len(records))
    records[index] = mutate(records[index], rng, junk)
    disk.truncate(name, 0)
    disk.append(
        name, b"".join(encode_record(msgspec.json.encode(each)) for each in records)
    )
    try:
        start(disk)
    except CorruptFileError as error:
        assert error.name in disk.list_names()
