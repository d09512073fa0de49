"""Strict parsing of YAML files: settings, documents and scenarios."""

from __future__ import annotations

from typing import Any, NoReturn, TypeVar

import msgspec
import yaml

T = TypeVar("T")

#: Maximum size of a file, in bytes.
MAX_YAML_BYTES = 1_000_000
#: Maximum nesting depth.
MAX_YAML_DEPTH = 32
#: Maximum number of nodes.
MAX_YAML_NODES = 100_000


class InvalidFileError(ValueError):
    """Raised for an invalid file, with all faults that were found in it."""

    def __init__(self, name: str, faults: tuple[str, ...]) -> None:
        super().__init__("\n".join(f"{name}: {fault}" for fault in faults))
        #: Name of the file as given by the caller.
        self.name = name
        #: One line per fault, each with the position or path in the file.
        self.faults = faults


class _StrictLoader(yaml.CSafeLoader):
    """A safe loader that rejects duplicate keys in a mapping."""

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Any, Any]:
        """Build a mapping; reject duplicate keys and keys that are not scalars."""
        seen = set()
        for key, _ in node.value:
            if not isinstance(key, yaml.ScalarNode):
                _reject("a key must be a plain text", key.start_mark)
            if key.value in seen:
                _reject(f"key {key.value!r} stands twice", key.start_mark)
            seen.add(key.value)
        return super().construct_mapping(node, deep)


def _reject(problem: str, mark: yaml.Mark) -> NoReturn:
    raise yaml.MarkedYAMLError(problem=problem, problem_mark=mark)


def _check_limits(text: str) -> None:
    """Reject aliases and excessive sizes before any object is built from the text."""
    depth = 0
    nodes = 0
    for event in yaml.parse(text, Loader=yaml.CSafeLoader):
        if isinstance(event, yaml.AliasEvent):
            _reject("aliases (*name) are not taken; write it out", event.start_mark)
        if isinstance(event, yaml.CollectionStartEvent):
            depth += 1
        elif isinstance(event, yaml.CollectionEndEvent):
            depth -= 1
        nodes += isinstance(event, yaml.NodeEvent)
        if depth > MAX_YAML_DEPTH:
            _reject(f"nested more than {MAX_YAML_DEPTH} deep", event.start_mark)
        if nodes > MAX_YAML_NODES:
            _reject(f"more than {MAX_YAML_NODES} values", event.start_mark)


def load_yaml(data: bytes, kind: type[T], name: str) -> T:
    """Parse YAML and convert it to a type.

    :param data: content of the file.
    :param kind: the type to convert to; unknown keys are faults if the type forbids
        them.
    :param name: name of the file, for error messages.
    :returns: a value of that type.
    :raises InvalidFileError: if the file is too large, is not strict YAML, or does
        not match the type; each fault names its position or path.

    >>> load_yaml(b"[1, x]", list[int], "a.yaml")
    Traceback (most recent call last):
    ...
    bramleyspread_core._yaml.InvalidFileError: a.yaml: [1]: Expected `int`, got `str`
    """
    if len(data) > MAX_YAML_BYTES:
        fault = f"{len(data)} bytes long; at most {MAX_YAML_BYTES} are taken"
        raise InvalidFileError(name, (fault,))
    value = _parse(data, name)
    try:
        return msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        raise InvalidFileError(name, (_move_path_first(str(error)),)) from None
    except RecursionError:
        raise InvalidFileError(name, ("nested too deep",)) from None


def _parse(data: bytes, name: str) -> object:
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        fault = f"byte {error.start}: not UTF-8; save the file as UTF-8"
        raise InvalidFileError(name, (fault,)) from None
    try:
        _check_limits(text)
        return yaml.load(text, Loader=_StrictLoader)
    except yaml.MarkedYAMLError as error:
        raise InvalidFileError(name, (_format_error(error, text),)) from None
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        first = str(error).splitlines()[0] if str(error) else "not YAML"
        raise InvalidFileError(name, (first,)) from None


def _format_error(error: yaml.MarkedYAMLError, text: str) -> str:
    mark = error.context_mark or error.problem_mark
    position = _format_position(mark, text) if mark else ""
    parts = [part for part in (error.context, error.problem) if part]
    return position + (": ".join(parts) or "not YAML")


def _format_position(mark: yaml.Mark, text: str) -> str:
    # The C parser reports the end of the file as an additional line.
    lines = text.count("\n") + 1
    if mark.line >= lines:
        return f"line {lines}, at the end: "
    return f"line {mark.line + 1}, column {mark.column + 1}: "


def _move_path_first(message: str) -> str:
    """Convert msgspec's ``fault - at `$.path``` to ``path: fault``."""
    fault, separator, path = message.rpartition(" - at `$")
    if not separator:
        return message
    path = path.removesuffix("`").removeprefix(".")
    return f"{path}: {fault}" if path else fault
