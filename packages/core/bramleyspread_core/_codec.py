"""JSON encoding of messages between processes."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")

_encoder = msgspec.json.Encoder()


class MessageError(ValueError):
    """Raised for a message that is not JSON or does not match the expected type."""


def encode_json(value: object) -> bytes:
    """Encode a value as JSON.

    :param value: a message, or a combination of built-in types.
    :returns: UTF-8 text without a newline.
    """
    return _encoder.encode(value)


def decode_json(data: bytes | str, kind: type[T] | Any) -> T:  # noqa: ANN401
    """Decode JSON to a typed value.

    :param data: UTF-8 text.
    :param kind: the type or tagged union to decode to.
    :returns: a value of that type.
    :raises MessageError: if the data is invalid; names the path of the first fault.

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
