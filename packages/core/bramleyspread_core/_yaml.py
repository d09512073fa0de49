"""Strict reading of YAML written by people: settings, documents, scenarios."""

from __future__ import annotations

from typing import Any, TypeVar

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


class _StrictLoader(yaml.SafeLoader):
    """A safe loader that refuses aliases, duplicate keys and absurd sizes."""

    def __init__(self, stream: str) -> None:
        super().__init__(stream)
        self._depth = 0
        self._nodes = 0

    def compose_node(self, parent: Any, index: Any) -> Any:  # noqa: ANN401
        """Compose one node, counting it."""
        if self.check_event(yaml.AliasEvent):  # type: ignore[no-untyped-call]
            self._refuse("aliases (*name) are not taken; write the value out")
        self._nodes += 1
        self._depth += 1
        if self._nodes > MAX_NODES:
            self._refuse(f"more than {MAX_NODES} values")
        if self._depth > MAX_DEPTH:
            self._refuse(f"nested more than {MAX_DEPTH} deep")
        node = super().compose_node(parent, index)
        self._depth -= 1
        return node

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Any, Any]:
        """Build a mapping, refusing a key that stands twice."""
        seen = set()
        for key_node, _ in node.value:
            if key_node.value in seen and isinstance(key_node, yaml.ScalarNode):
                self._refuse(f"key {key_node.value!r} stands twice", key_node)
            if isinstance(key_node, yaml.ScalarNode):
                seen.add(key_node.value)
        return super().construct_mapping(node, deep)

    def _refuse(self, why: str, node: yaml.Node | None = None) -> None:
        mark = node.start_mark if node else self._peek_mark()
        raise yaml.MarkedYAMLError(problem=why, problem_mark=mark)

    def _peek_mark(self) -> yaml.Mark:
        event: yaml.Event = self.peek_event()  # type: ignore[no-untyped-call]
        mark: yaml.Mark = event.start_mark
        return mark


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
    loader = None
    try:
        loader = _StrictLoader(text)
        return loader.get_single_data()
    except yaml.MarkedYAMLError as error:
        raise InvalidFileError(name, (_describe(error),)) from None
    except (yaml.YAMLError, ValueError, TypeError, RecursionError) as error:
        first = str(error).splitlines()[0] if str(error) else "not YAML"
        raise InvalidFileError(name, (first,)) from None
    finally:
        if loader is not None:
            loader.dispose()  # type: ignore[no-untyped-call]


def _describe(error: yaml.MarkedYAMLError) -> str:
    mark = error.problem_mark
    place = f"line {mark.line + 1}, column {mark.column + 1}: " if mark else ""
    return f"{place}{error.problem or error.context or 'not YAML'}"


def _place_first(message: str) -> str:
    """Turn ``what - at `$.path``` into ``path: what``."""
    what, separator, path = message.rpartition(" - at `$")
    if not separator:
        return message
    path = path.removesuffix("`").removeprefix(".")
    return f"{path}: {what}" if path else what
