"""Framing of records in a file: length, checksum, and the bytes of one JSON value.

The checksum covers the length as well, so that a damaged length is detected.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator

import crc32c

_HEADER = struct.Struct("<II")
#: Size of the header before each record's content, in bytes.
HEADER_BYTES = _HEADER.size
#: Maximum size of one record's content, in bytes.
MAX_RECORD_BYTES = 64_000_000


def encode_record(content: bytes) -> bytes:
    """Frame one record.

    :param content: the content of the record.
    :returns: length, checksum and content.

    >>> encode_record(b"{}").hex()
    '02000000317bbc547b7d'
    """
    length = len(content)
    return _HEADER.pack(length, _checksum(length, content)) + content


def read_records(data: bytes) -> tuple[list[tuple[int, bytes]], int]:
    """Read records up to the first offset at which no complete, valid record starts.

    :param data: the bytes of a file.
    :returns: offset and content of each record, and the offset at which reading
        stopped.

    >>> read_records(encode_record(b"{}") + b"torn")
    ([(0, b'{}')], 10)
    """
    contents = []
    offset = 0
    while (content := _read_one(data, offset)) is not None:
        contents.append((offset, content))
        offset += HEADER_BYTES + len(content)
    return contents, offset


def find_later_records(data: bytes, offset: int) -> Iterator[bytes]:
    """Find valid records after damaged bytes.

    :param data: the bytes of a file.
    :param offset: offset of the damage.
    :returns: the content of each record.
    """
    offset += 1
    while offset + HEADER_BYTES < len(data):
        content = _read_one(data, offset)
        if content is None:
            offset += 1
            continue
        yield content
        offset += HEADER_BYTES + len(content)


def _read_one(data: bytes, offset: int) -> bytes | None:
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    length, checksum = _HEADER.unpack_from(data, offset)
    if length == 0 or length > MAX_RECORD_BYTES or start + length > len(data):
        return None
    content = data[start : start + length]
    return content if _checksum(length, content) == checksum else None


def _checksum(length: int, content: bytes) -> int:
    seed = crc32c.crc32c(length.to_bytes(4, "little"))
    value: int = crc32c.crc32c(content, seed)
    return value
