"""Tests of the encoding of commands."""

from __future__ import annotations

import msgspec
import pytest

from bramleyspread_core import (
    Brand,
    ClaimKey,
    Command,
    RequestId,
    ServiceName,
    Settle,
    decode_json,
    encode_json,
)

KEY = ClaimKey(Brand("inkabooth", "fast"), ServiceName("ledger"), "pay-1")


@pytest.mark.parametrize("answer", [None, msgspec.Raw(b'{"paid":true}')])
def test_settlement_is_unchanged_by_encoding_and_decoding(
    answer: msgspec.Raw | None,
) -> None:
    settle = Settle(KEY, RequestId("r-1"), "done", answer)
    decoded: Settle = decode_json(encode_json(settle), Command)
    assert decoded.answer == answer
