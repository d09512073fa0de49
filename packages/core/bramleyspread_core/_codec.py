"""JSON between processes, with errors as one typed exception."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

_encoder = msgspec.json.Encoder()


class MessageError(ValueError):
    """A message that does not have the shape its type asks for."""


def encode_json(value: object) -> bytes:
    """Write a typed value as JSON.

    :param value: a message, or anything built of plain values.
    :returns: UTF-8 text without a newline.
    """
    return _encoder.encode(value)


def decode_json(data: bytes | str, kind: type[T] | Any) -> T:  # noqa: ANN401
    """Read a typed value from JSON.

    :param data: UTF-8 text.
    :param kind: the type, or the tagged union, to read.
    :returns: a value of that type.
    :raises MessageError: naming the path of the first fault.

    >>> decode_json(b'[1]', list[str])
    Traceback (most recent call last):
    ...
    bramleyspread_core._codec.MessageError: Expected `str`, got `int` - at `$[0]`
    """
    try:
        value: T = msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MessageError(str(error)) from None
    return value
