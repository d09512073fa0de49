"""Service documents: what is taken and what is a fault."""

import pytest

from bramleyspread_core import (
    InvalidFileError,
    PoolName,
    ServiceDocument,
    ServiceName,
    decode_json,
    encode_json,
    find_reference_faults,
)

BASE = """
service: photos
version: 1
team: booths
organisations:
  - {name: inti, brands: [{name: fast}]}
pools:
  - {name: encoders, kind: encoding}
  - {name: engines, kind: generation, models: [{name: m, version: "1"}]}
pipelines:
  - name: check
    deadline_ms: 4000
    stages:
      - {name: encode, pool: encoders}
      - {name: generate, pool: engines, model: m, stream: true}
"""


def read(text: str) -> ServiceDocument:
    return ServiceDocument.from_yaml(text.encode(), "photos.yaml")


def test_base_is_without_faults() -> None:
    document = read(BASE)
    assert document.knows_brand("inti", "fast")
    assert not document.knows_brand("inti", "slow")
    assert list(find_reference_faults(document, {})) == []
    stage = document.pipelines[0].stages[0]
    assert document.resolve_pool(stage) == PoolName(ServiceName("photos"), "encoders")


def test_json_between_processes_says_the_same() -> None:
    document = read(BASE)
    assert decode_json(encode_json(document), ServiceDocument) == document


CHANGES = [
    ("version: 1\n", "version: 0\n", "version: Expected `int` >= 1"),
    ("team: booths", "teem: booths", "unknown field `teem`"),
    ("deadline_ms: 4000", "deadline_ms: 4 s", "pipelines[0].deadline_ms: Expected"),
    ("deadline_ms: 4000", "deadline: 4000", "pipelines[0]: Object"),
    ("kind: encoding", "kind: encodes", "pools[0].kind: Invalid enum value"),
    ("name: engines", "name: encoders", "pools[1].name: 'encoders' stands twice"),
    ("pool: encoders}", "pool: encodres}", "this document has no pool 'encodres'"),
    ("{name: encode,", "{name: Encode,", "pipelines[0].stages[0].name: Expected"),
    ("pool: encoders}", "pool: encoders, stream: true}", "only the last stage"),
    ("kind: generation", "kind: plain", "pools[1]: only pools of kind generation"),
    ("pool: encoders}", "pool: encoders, attempt_ms: 4001}", "longer than"),
    ("pool: encoders}", "pool: encoders, adapter: a}", "names an adapter but no model"),
]


@pytest.mark.parametrize(("old", "new", "expected"), CHANGES)
def test_fault_names_its_path(old: str, new: str, expected: str) -> None:
    assert old in BASE
    with pytest.raises(InvalidFileError) as caught:
        read(BASE.replace(old, new))
    assert any(expected in fault for fault in caught.value.faults), caught.value


REFERENCES = [
    ("pool: encoders}", "pool: other.encoders}", "no service 'other' in force"),
    ("pool: engines,", "pool: photos.engine,", "has no pool 'engine'"),
    ("model: m,", "model: n,", "holds no model 'n'"),
    ("model: m,", "model: m, adapter: a,", "has no adapter 'a'"),
    ("model: m,", "", "must name its model"),
]


@pytest.mark.parametrize(("old", "new", "expected"), REFERENCES)
def test_reference_to_nothing_is_a_fault(old: str, new: str, expected: str) -> None:
    document = read(BASE.replace(old, new))
    faults = list(find_reference_faults(document, {}))
    assert len(faults) == 1
    assert expected in faults[0]
