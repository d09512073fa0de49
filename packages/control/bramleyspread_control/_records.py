"""Framing of records in a file: length, checksum, and the bytes of one JSON value.

The checksum covers the length as well, so that a damaged length is detected.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator

import crc32c

_HEADER = struct.Struct("<II")
#: Size of the header before each record's content, in bytes.
HEADER_BYTES = _HEADER.size
#: Maximum size of one record's content, in bytes.
MAX_RECORD_BYTES = 64_000_000
#: Number of bytes that are read from a file at once.
BLOCK_BYTES = 1_048_576


def encode_record(content: bytes) -> bytes:
    """Frame one record.

    :param content: the content of the record.
    :returns: length, checksum and content.

    >>> encode_record(b"{}").hex()
    '02000000317bbc547b7d'
    """
    length = len(content)
    return _HEADER.pack(length, _checksum(length, content)) + content


class RecordReader:
    """Reads the records of a file one after the other, and holds only a part of it.

    Iterate over offset and content of each record, up to the first offset at which no
    complete, valid record starts.

    :param read_part: returns bytes of the file, given their offset and number.
    """

    __slots__ = ("_block", "_block_offset", "_read_part", "offset")

    def __init__(self, read_part: Callable[[int, int], bytes]) -> None:
        self._read_part = read_part
        self._block = b""
        self._block_offset = 0
        #: Offset that has been reached.
        self.offset = 0

    def __iter__(self) -> Iterator[tuple[int, bytes]]:
        """Read all records."""
        while (content := self._read_next()) is not None:
            offset = self.offset
            self.offset += HEADER_BYTES + len(content)
            yield offset, content

    def _read_next(self) -> bytes | None:
        header = self._fetch(self.offset, HEADER_BYTES)
        if len(header) < HEADER_BYTES:
            return None
        length, _ = _HEADER.unpack(header)
        if length == 0 or length > MAX_RECORD_BYTES:
            return None
        content = self._fetch(self.offset + HEADER_BYTES, length)
        return _read_one(header + content, 0)

    def _fetch(self, offset: int, size: int) -> bytes:
        start = offset - self._block_offset
        if start + size > len(self._block):
            self._block = b""
            self._block = self._read_part(offset, max(size, BLOCK_BYTES))
            self._block_offset, start = offset, 0
        return self._block[start : start + size]


def read_records(data: bytes) -> tuple[list[tuple[int, bytes]], int]:
    """Read records up to the first offset at which no complete, valid record starts.

    :param data: the bytes of a file.
    :returns: offset and content of each record, and the offset at which reading
        stopped.

    >>> read_records(encode_record(b"{}") + b"torn")
    ([(0, b'{}')], 10)
    """
    reader = RecordReader(lambda offset, size: data[offset : offset + size])
    return list(reader), reader.offset


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
