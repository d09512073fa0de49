"""Benchmark of the processor time and size of documents, polls, reports and plans."""

from __future__ import annotations

import time
import zlib
from collections.abc import Callable, Iterator
from random import Random

from bramleyspread_control import ControlConfig, ControlHost, ControlMember, MemoryDisk
from bramleyspread_core import (
    Address,
    Announcement,
    BrandShare,
    DesiredModel,
    DocumentInForce,
    DocumentsPage,
    DocumentsQuery,
    HostName,
    LoadedModel,
    OrganisationShare,
    Pool,
    PoolName,
    ServiceDocument,
    ServiceName,
    StageKind,
    TargetName,
    TargetsReport,
    ZoneName,
    decode_json,
    encode_json,
)
from bramleyspread_orders import Reconciler, ReconcilerConfig
from bramleyspread_proof._figures import Figure

#: Numbers of organisations in the two documents from which the cost of an additional
#: organisation is computed; the larger one is also the approximate number of targets.
FEW, MANY = 300, 2_700
#: Number of measurements of each function, of which the fastest counts.
REPEATS = 5
#: Time after which a reconciler has learnt enough to plan, in seconds.
LEARNING_TIME_S = 11.0
#: Targets in the report of an entry host at the target size.
TARGETS_PER_HOST = 23

_BENCH = "control-plane"


def run() -> Iterator[Figure]:
    """Measure documents, polls, reports and plans."""
    yield from _measure_documents()
    yield from _measure_polls()
    yield from _measure_reports()


def _measure_documents() -> Iterator[Figure]:
    few, many = _make_page(FEW), _make_page(MANY)
    added = MANY - FEW
    read_s = (
        _time_call(lambda: _decode_and_check(many))
        - _time_call(lambda: _decode_and_check(few))
    ) / added
    yield Figure(_BENCH, "read a document, an organisation", read_s * 1e6, "us")
    size = (len(many) - len(few)) / added
    yield Figure(_BENCH, "document, an organisation", size, "bytes")
    packed = (len(zlib.compress(many, 1)) - len(zlib.compress(few, 1))) / added
    yield Figure(_BENCH, "document, an organisation, packed", packed, "bytes")
    text = encode_json(_make_document(MANY))
    yaml = _time_call(lambda: ServiceDocument.from_yaml(text, "document")) / MANY
    yield Figure(_BENCH, "read YAML, an organisation", yaml * 1e6, "us")


def _measure_polls() -> Iterator[Figure]:
    member = ControlMember(HostName("a"), ZoneName("a"), Address("127.0.0.1", 7000))
    config = ControlConfig(member.host, member.zone, member.address, (member,))
    host = ControlHost.from_config(config, MemoryDisk(), Random(1), 0.0)
    query = DocumentsQuery(HostName("entry-1"), "a", Address("127.0.0.1", 7200), 9)
    body = encode_json(query)

    def answer() -> None:
        asked: DocumentsQuery = decode_json(body, DocumentsQuery)
        encode_json(host.answer_query(asked, 1.0))

    yield Figure(_BENCH, "answer a poll", _time_call(answer, 1_000) * 1e6, "us")
    yield Figure(_BENCH, "poll", len(body), "bytes")


def _measure_reports() -> Iterator[Figure]:
    reports = [_make_report(number) for number in range(MANY // TARGETS_PER_HOST)]
    bodies = [encode_json(report) for report in reports]
    targets = len(reports) * TARGETS_PER_HOST
    reconciler = Reconciler.from_config(ReconcilerConfig(), Random(1))

    def handle_reports() -> None:
        for body in bodies:
            reconciler.handle_report(decode_json(body, TargetsReport), 1.0)

    yield Figure(
        _BENCH,
        "hear a report, a target",
        _time_call(handle_reports) / targets * 1e6,
        "us",
    )
    size = sum(map(len, bodies)) / targets
    yield Figure(_BENCH, "report, a target", size, "bytes")
    pool = Pool(
        name="engines",
        kind=StageKind.GENERATION,
        models=(DesiredModel(name="m", version="1"),),
    )
    wanted = ServiceDocument(service="lm", version=1, team="t", pools=(pool,))
    reconciler.plan((wanted,), (), 1, 1.0)
    handle_reports()
    plan = _time_call(lambda: reconciler.plan((wanted,), (), 1, 1.0 + LEARNING_TIME_S))
    yield Figure(_BENCH, "plan, a target", plan / targets * 1e6, "us")


def _make_document(organisations: int) -> ServiceDocument:
    return ServiceDocument(
        service="photos",
        version=1,
        team="booths",
        organisations=tuple(
            OrganisationShare(
                name=f"organisation-{number}",
                share=3,
                brands=(BrandShare(name=f"brand-{number}"),),
            )
            for number in range(organisations)
        ),
    )


def _make_page(organisations: int) -> bytes:
    document = _make_document(organisations)
    in_force = DocumentInForce(ServiceName("photos"), 1, 1, "ana", document)
    return encode_json(DocumentsPage(1, (in_force,)))


def _decode_and_check(body: bytes) -> None:
    page: DocumentsPage = decode_json(body, DocumentsPage)
    for each in page.documents:
        each.document.check("page")


def _make_report(host: int) -> TargetsReport:
    pool = PoolName(ServiceName("lm"), "engines")
    model = LoadedModel("m", "1")
    return TargetsReport(
        f"entry-{host}",
        tuple(
            Announcement(
                TargetName(f"engine-{host}-{number}"),
                1_796_330_529_000,
                1,
                pool,
                Address("10.0.0.1", 1 + number),
                ZoneName("miraflores"),
                models=(model,),
            )
            for number in range(TARGETS_PER_HOST)
        ),
    )


def _time_call(action: Callable[[], object], calls: int = 1) -> float:
    """Return the least processor time of a call over several measurements, in seconds.

    :param action: the function to call.
    :param calls: number of calls in each measurement.
    """
    times = []
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(calls):
            action()
        times.append((time.process_time() - began) / calls)
    return min(times)
