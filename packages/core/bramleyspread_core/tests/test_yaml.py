"""Tests of strict YAML parsing."""

import msgspec
import pytest

from bramleyspread_core import InvalidFileError, load_yaml


class Sizes(msgspec.Struct):
    """The type that the test files are converted to."""

    a: int
    b: int = 0


INVALID_FILES = [
    (b"\xff\xfe", "byte 0: not UTF-8"),
    (b"a: [1, 2", "line 1"),
    (b"a: 1\na: 2", "'a' stands twice"),
    (b"a: &x [1]\nb: *x", "aliases"),
    (b"[" * 200 + b"]" * 200, "nested more than 32 deep"),
    (b"x" * 1_000_001, "at most 1000000"),
    (b"[" + b"1," * 100_001 + b"]", "more than 100000 values"),
    (b"a: one", "a: Expected `int`, got `str`"),
    (b"a: 1.5", "a: Expected `int`, got `float`"),
    (b"a: !!python/object:os.system {}", "could not determine a constructor"),
    (b"{[1]: 2}", "a key must be a plain text"),
    (b"", "Expected `object`, got `null`"),
    (b"a: 1\n---\na: 2", "but found another document"),
]


@pytest.mark.parametrize(
    ("data", "expected"), INVALID_FILES, ids=[expected for _, expected in INVALID_FILES]
)
def test_invalid_file_is_rejected_with_one_line(data: bytes, expected: str) -> None:
    with pytest.raises(InvalidFileError) as caught:
        load_yaml(data, Sizes, "file.yaml")
    assert len(caught.value.faults) == 1
    assert "\n" not in caught.value.faults[0]
    assert expected in caught.value.faults[0]
    assert str(caught.value).startswith("file.yaml: ")


def test_valid_file_is_converted() -> None:
    assert load_yaml(b"a: 1\nb: 2\n", Sizes, "f") == Sizes(1, 2)
