"""Tests of the parsing and the checks of service documents."""

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

VALID_DOCUMENT = """
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


def parse_document(text: str) -> ServiceDocument:
    return ServiceDocument.from_yaml(text.encode(), "photos.yaml")


def test_valid_document_has_no_faults() -> None:
    document = parse_document(VALID_DOCUMENT)
    assert document.allows_brand("inti", "fast")
    assert not document.allows_brand("inti", "slow")
    assert list(find_reference_faults(document, {})) == []
    stage = document.pipelines[0].stages[0]
    assert document.resolve_pool(stage) == PoolName(ServiceName("photos"), "encoders")


def test_document_is_unchanged_by_json_encoding_and_decoding() -> None:
    document = parse_document(VALID_DOCUMENT)
    assert decode_json(encode_json(document), ServiceDocument) == document


INVALID_CHANGES = [
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


@pytest.mark.parametrize(("old", "new", "expected"), INVALID_CHANGES)
def test_invalid_document_is_rejected_with_fault(
    old: str, new: str, expected: str
) -> None:
    assert old in VALID_DOCUMENT
    with pytest.raises(InvalidFileError) as caught:
        parse_document(VALID_DOCUMENT.replace(old, new))
    assert any(expected in fault for fault in caught.value.faults), caught.value


MISSING_REFERENCES = [
    ("pool: encoders}", "pool: other.encoders}", "no service 'other' in force"),
    ("pool: engines,", "pool: photos.engine,", "has no pool 'engine'"),
    ("model: m,", "model: n,", "holds no model 'n'"),
    ("model: m,", "model: m, adapter: a,", "has no adapter 'a'"),
    ("model: m,", "", "must name its model"),
]


@pytest.mark.parametrize(("old", "new", "expected"), MISSING_REFERENCES)
def test_reference_to_missing_name_is_a_fault(
    old: str, new: str, expected: str
) -> None:
    document = parse_document(VALID_DOCUMENT.replace(old, new))
    faults = list(find_reference_faults(document, {}))
    assert len(faults) == 1
    assert expected in faults[0]
