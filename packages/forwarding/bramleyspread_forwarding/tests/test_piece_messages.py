"""Sizes of the messages between a batching host and the hosts that ask it."""

from __future__ import annotations

import pytest

from bramleyspread_core import MessageError, decode_json, encode_json
from bramleyspread_forwarding import PieceFault, PieceResult, PieceResults
from bramleyspread_forwarding.tests.builders import make_job

HANDLES = tuple(f"10.1.64.9:8080/91bd3f06{at:03x}" for at in range(16))


# Guards against the incident SHORT: each piece repeated what is the same for all pieces
# of its job, and a quarter of a batching host's link was spent on that.
def test_job_does_not_grow_with_its_pieces() -> None:
    sizes = [len(encode_json(make_job("r", pieces))) for pieces in (10, 99)]
    assert sizes[0] == sizes[1]


# Guards against the same: an answer took 130 bytes a piece, of which 30 are its handle.
def test_answer_takes_little_more_than_its_handles() -> None:
    results = tuple(
        PieceResult(handle, None, "thuduc-a", "i-30989eb2cf") for handle in HANDLES
    )
    size = len(encode_json(PieceResults.pack(results)))
    assert size <= 1.5 * sum(len(handle) for handle in HANDLES)


def test_answer_with_several_makers_and_faults_is_read_as_it_was_written() -> None:
    results = (
        PieceResult("h1", None, "z1", "t1"),
        PieceResult(fault=PieceFault.GONE, maker="t2"),
        PieceResult("h2", None, "z2", "t2"),
        PieceResult("h3", None, "z1", "t1"),
        PieceResult(fault=PieceFault.SHED),
    )
    body = encode_json(PieceResults.pack(results))
    assert decode_json(body, PieceResults).unpack() == results


@pytest.mark.parametrize("made_by", ["[1]", "[-1]", "[]", "[0,0]"])
def test_answer_whose_parts_do_not_fit_is_a_message_error(made_by: str) -> None:
    body = b'{"handles":["h1"],"makers":[["t1","z1"]],"made_by":%s}' % made_by.encode()
    with pytest.raises(MessageError):
        decode_json(body, PieceResults).unpack()
