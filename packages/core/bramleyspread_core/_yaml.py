"""Strict reading of YAML written by people: settings, documents, scenarios."""

from __future__ import annotations

from typing import Any, NoReturn, TypeVar

import msgspec
import yaml

T = TypeVar("T")

#: Largest text taken, in bytes.
MAX_BYTES = 1_000_000
#: Deepest nesting taken.
MAX_DEPTH = 32
#: Most nodes taken.
MAX_NODES = 100_000


class InvalidFileError(ValueError):
    """Everything found wrong with one file, one line a fault."""

    def __init__(self, name: str, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(f"{name}: {fault}" for fault in faults))
        #: The file's name, as the person gave it.
        self.name = name
        #: One line a fault, each with the path in the file.
        self.faults = faults


class _StrictLoader(yaml.CSafeLoader):
    """A safe loader that refuses a key that stands twice in one mapping."""

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Any, Any]:
        """Build a mapping, refusing a key that stands twice."""
        seen = set()
        for key, _ in node.value:
            if not isinstance(key, yaml.ScalarNode):
                _refuse("a key must be a plain text", key.start_mark)
            if key.value in seen:
                _refuse(f"key {key.value!r} stands twice", key.start_mark)
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def _refuse(why: str, mark: yaml.Mark) -> NoReturn:
    raise yaml.MarkedYAMLError(problem=why, problem_mark=mark)


def _check_size(text: str) -> None:
    """Refuse aliases and absurd sizes before anything is built from the text."""
    depth = 0
    nodes = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            _refuse("aliases (*name) are not taken; write it out", event.start_mark)
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        nodes += isinstance(event, yaml.NodeEvent)
        if depth > MAX_DEPTH:
            _refuse(f"nested more than {MAX_DEPTH} deep", event.start_mark)
        if nodes > MAX_NODES:
            _refuse(f"more than {MAX_NODES} values", event.start_mark)


def load_yaml(data: bytes, kind: type[T], name: str) -> T:
    """Read one typed value from YAML.

    :param data: the file's bytes.
    :param kind: the type to read; unknown keys are faults where it says so.
    :param name: the file's name, for the faults.
    :returns: a value of that type.
    :raises InvalidFileError: naming the path of what is wrong.

    >>> load_yaml(b"[1, x]", list[int], "a.yaml")
    Traceback (most recent call last):
    ...
    bramleyspread_core._yaml.InvalidFileError: a.yaml: [1]: Expected `int`, got `str`
    """
    if len(data) > MAX_BYTES:
        fault = f"{len(data)} bytes long; at most {MAX_BYTES} are taken"
        raise InvalidFileError(name, (fault,))
    plain = _parse(data, name)
    try:
        return msgspec.convert(plain, kind, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidFileError(name, (_place_first(str(error)),)) from None
    except RecursionError:
        raise InvalidFileError(name, ("nested too deep",)) from None


def _parse(data: bytes, name: str) -> object:
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        fault = f"byte {error.start}: not UTF-8; save the file as UTF-8"
        raise InvalidFileError(name, (fault,)) from None
    try:
        _check_size(text)
        return yaml.load(text, Loader=_StrictLoader)
    except yaml.MarkedYAMLError as error:
        raise InvalidFileError(name, (_describe(error, text),)) from None
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        first = str(error).splitlines()[0] if str(error) else "not YAML"
        raise InvalidFileError(name, (first,)) from None


def _describe(error: yaml.MarkedYAMLError, text: str) -> str:
    mark = error.context_mark or error.problem_mark
    place = _place(mark, text) if mark else ""
    parts = [part for part in (error.context, error.problem) if part]
    return place + (": ".join(parts) or "not YAML")


def _place(mark: yaml.Mark, text: str) -> str:
    # The C parser puts the end of a file on a line of its own.
    lines = text.count("\n") + 1
    if mark.line >= lines:
        return f"line {lines}, at the end: "
    return f"line {mark.line + 1}, column {mark.column + 1}: "


def _place_first(message: str) -> str:
    """Turn ``what - at `$.path``` into ``path: what``."""
    what, separator, path = message.rpartition(" - at `$")
    if not separator:
        return message
    path = path.removesuffix("`").removeprefix(".")
    return f"{path}: {what}" if path else what
