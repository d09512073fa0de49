"""What differs between two versions of a deployment document."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from bramleyspread_core import (
    CallerLimits,
    Deployment,
    ForwardRoute,
    ForwardService,
    OrganisationKeys,
    RequestKind,
    ServiceShare,
    encode_json,
)
from bramleyspread_forwarding import (
    DigestMismatch,
    DocumentAnswer,
    DocumentParts,
    DocumentQuery,
    build_document,
)

#: Bytes per second that a daemon may spend for control, and the target's changes in a
#: second, in the mean of a day.
CONTROL_BYTES_PER_S, CHANGES_PER_S = 10_000, 18_000 / 86_400
#: Share of these bytes that changes may take.
CHANGES_SHARE = 0.25


def make_route(number: int, timeout_ms: int = 8_000) -> ForwardRoute:
    return ForwardRoute(
        name=f"route-{number:05}",
        host=f"host-{number % 9}.example",
        prefix=f"/prefix-{number:05}/",
        kind=RequestKind.STREAM,
        timeout_ms=timeout_ms,
        aim_ms=1_700.0,
        shares=(ServiceShare("llm", 1.0),),
    )


def make_holder(number: int, keys: int = 2) -> OrganisationKeys:
    names = tuple(f"key-{number}-{at}" for at in range(keys))
    return OrganisationKeys(name=f"organisation-{number}", keys=names)


def make_document(version: int, routes: int, holders: int) -> Deployment:
    return Deployment(
        version=version,
        routes=tuple(make_route(at) for at in range(routes)),
        services=(ForwardService(name="llm", max_connections=400),),
        holders=tuple(make_holder(at) for at in range(holders)),
    )


def change_randomly(rng: Random, document: Deployment) -> Deployment:
    """Return the next version, in which something was added, changed or removed."""
    routes, holders = list(document.routes), list(document.holders or ())
    version = document.version + rng.randint(1, 3)
    for _ in range(rng.randint(0, 4)):
        at = rng.randrange(200)
        routes = [x for x in routes if x.name != f"route-{at:05}"]
        if rng.random() < 0.7:
            routes.insert(rng.randint(0, len(routes)), make_route(at, rng.randrange(9)))
    for _ in range(rng.randint(0, 2)):
        at = rng.randrange(20)
        holders = [x for x in holders if x.name != f"organisation-{at}"]
        holders += [make_holder(at, rng.randint(0, 3))] * rng.randint(0, 2)
    return msgspec.structs.replace(
        document,
        version=version,
        routes=tuple(routes),
        holders=tuple(holders) if rng.random() < 0.8 else None,
        limits=CallerLimits(head_ms=rng.choice((3_000, 4_000))),
    )


def sort_parts(document: Deployment) -> Deployment:
    """Sort the parts, whose order says nothing."""
    holders = document.holders
    return msgspec.structs.replace(
        document,
        routes=tuple(sorted(document.routes, key=lambda x: (x.host, x.prefix))),
        services=tuple(sorted(document.services, key=lambda x: x.name)),
        holders=(
            tuple(sorted(holders, key=lambda x: (x.name, x.keys)))
            if holders is not None
            else None
        ),
    )


def send(answer: DocumentAnswer) -> DocumentAnswer:
    """Return an answer as it arrives at another host."""
    return msgspec.json.decode(encode_json(answer), type=DocumentAnswer)


# Guards against documents that are put together wrongly from what changed, whichever
# version an entry host has.
@pytest.mark.parametrize("seed", range(20))
def test_changes_lead_to_the_same_document_from_any_version(seed: int) -> None:
    rng = Random(seed)
    versions = [make_document(1, 150, 12)]
    for _ in range(15):
        versions.append(change_randomly(rng, versions[-1]))
    newest = DocumentParts.from_deployment(versions[-1])
    for document in versions[:-1]:
        known = DocumentParts.from_deployment(document)
        answer = send(newest.answer(known.make_query(), confirmed=True))
        assert answer.buckets is not None
        applied = known.apply(answer)
        assert isinstance(applied, DocumentParts)
        assert sort_parts(applied.deployment) == sort_parts(versions[-1])
        assert applied.digest == newest.digest


def test_index_of_a_version_is_the_same_with_and_without_an_earlier_one() -> None:
    rng = Random(1)
    known: DocumentParts | None = None
    document = make_document(1, 150, 12)
    for _ in range(20):
        document = change_randomly(rng, document)
        known = DocumentParts.from_deployment(document, known)
        fresh = DocumentParts.from_deployment(document)
        assert known.digest == fresh.digest
        assert known.make_query() == fresh.make_query()


# Guards against parts that stand twice and so seem to be missing.
def test_organisation_that_stands_twice_is_kept() -> None:
    known = DocumentParts.from_deployment(make_document(1, 10, 0))
    twice = msgspec.structs.replace(
        make_document(2, 10, 0), holders=(make_holder(7), make_holder(7))
    )
    newest = DocumentParts.from_deployment(twice)
    applied = known.apply(send(newest.answer(known.make_query(), confirmed=True)))
    assert isinstance(applied, DocumentParts)
    assert applied.deployment.holders == twice.holders


# Guards against an answer that is cut short or for another version, put in force.
def test_answer_that_does_not_lead_to_the_document_is_a_mismatch() -> None:
    base = make_document(1, 100, 5)
    known = DocumentParts.from_deployment(base)
    changed = msgspec.structs.replace(
        base, version=3, routes=(*base.routes[1:], make_route(0, 5))
    )
    newest = DocumentParts.from_deployment(changed)
    answer = newest.answer(known.make_query(), confirmed=True)
    other = DocumentParts.from_deployment(make_document(2, 99, 5))
    assert isinstance(known.apply(answer), DocumentParts)
    assert other.apply(answer) == DigestMismatch(3)
    short = msgspec.structs.replace(answer, routes=answer.routes[1:])
    assert known.apply(short) == DigestMismatch(3)
    assert build_document(answer) == DigestMismatch(3)


@pytest.mark.parametrize("buckets", [b"", b"1", b"12345678" * 3, b"1234567" * 64])
def test_whole_document_answers_a_question_without_usable_digests(
    buckets: bytes,
) -> None:
    document = make_document(2, 30, 3)
    newest = DocumentParts.from_deployment(document)
    query = DocumentQuery(version=1, buckets=buckets)
    answer = send(newest.answer(query, confirmed=False))
    assert answer.buckets is None
    built = build_document(answer)
    assert isinstance(built, DocumentParts)
    assert built.deployment == document


def test_question_for_an_older_version_gets_nothing() -> None:
    newest = DocumentParts.from_deployment(make_document(2, 30, 3))
    answer = newest.answer(DocumentQuery(version=2), confirmed=True)
    assert answer == DocumentAnswer(version=2, confirmed=True)


# Guards against changes that cost what the whole document costs.
@pytest.mark.parametrize(("routes", "holders"), [(1, 1), (300, 16), (3_000, 2_700)])
def test_change_of_one_route_costs_little_at_any_size(
    routes: int, holders: int
) -> None:
    base = make_document(1, routes, holders)
    changed = msgspec.structs.replace(
        base, version=2, routes=(*base.routes[:-1], make_route(routes - 1, 5))
    )
    known = DocumentParts.from_deployment(base)
    newest = DocumentParts.from_deployment(changed)
    query = known.make_query()
    answer = newest.answer(query, confirmed=True)
    size = len(encode_json(query)) + len(encode_json(answer))
    assert size * CHANGES_PER_S <= CHANGES_SHARE * CONTROL_BYTES_PER_S


# Guards against documents that hosts of earlier builds, which don't know where health
# checks are answered, can't take over.
def test_digest_leaves_out_what_earlier_builds_drop() -> None:
    earlier = ForwardService(name="llm", max_connections=400)
    later = msgspec.structs.replace(earlier, health_path="/healthz")
    documents = [Deployment(version=1, services=(each,)) for each in (earlier, later)]
    parts = [DocumentParts.from_deployment(each) for each in documents]
    assert parts[0].digest == parts[1].digest
    assert b"health" not in encode_json(earlier)
    assert b"warm_up" not in encode_json(earlier)


# Guards against hosts that never learn of a change which the whole document's digest
# leaves out, and hosts of earlier builds that can't take such a document over.
@pytest.mark.parametrize("rates", [(msgspec.UNSET, 16.0), (16.0, msgspec.UNSET)])
def test_change_of_warm_ups_alone_is_sent(
    rates: tuple[float | msgspec.UnsetType, ...],
) -> None:
    service = ForwardService(name="llm", max_connections=400)
    old, new = (
        Deployment(
            version=number,
            services=(msgspec.structs.replace(service, warm_up_rate=rate),),
        )
        for number, rate in enumerate(rates, start=1)
    )
    known, newest = map(DocumentParts.from_deployment, (old, new))
    assert known.digest == newest.digest
    applied = known.apply(newest.answer(known.make_query(), confirmed=True))
    assert isinstance(applied, DocumentParts)
    assert applied.deployment == new
