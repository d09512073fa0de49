"""The parts of a deployment document, and what differs between two versions of it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

import msgspec
import xxhash

from bramleyspread_core import (
    CallerLimits,
    Deployment,
    ForwardRoute,
    ForwardService,
    OrganisationKeys,
    encode_json,
)
from bramleyspread_forwarding._document_messages import DocumentAnswer, DocumentQuery

#: Size of a bucket's digest, in bytes.
BUCKET_DIGEST_BYTES = 8
#: Size of a document's digest, in bytes.
DIGEST_BYTES = 16
#: Minimum and maximum number of buckets.
MIN_BUCKETS, MAX_BUCKETS = 16, 4_096
#: How many times the square root of its parts a document's buckets are at most. Few
#: buckets make a change long, many make each question long.
BUCKETS_PER_ROOT = 8

_Part = ForwardRoute | ForwardService | OrganisationKeys


class DigestMismatch(msgspec.Struct, frozen=True):
    """Reports that an answer doesn't lead to the document that it is about."""

    #: Version of that document.
    version: int


class _IndexedPart(msgspec.Struct, frozen=True):
    """A part of a document, with the digests by which it is compared."""

    part: _Part
    #: Digest of what the part is about; it stays when the part changes.
    place: int
    #: Digest of all that the part says.
    digest: int
    #: Digest of what hosts of earlier builds keep of it.
    common_digest: int


class DocumentParts:
    """A deployment document as a set of parts: its routes, services and organisations.

    Each part belongs to a bucket. Two hosts whose buckets have the same digests have
    the same parts, so a host that tells the digests of its buckets is sent only the
    parts in those that differ, whichever version it has. Whether the result is right
    is checked with a digest of all parts. The order of the parts says nothing.

    Used by control hosts to answer, and by entry hosts to ask and to apply the answer.

    >>> service = ForwardService(name="llm", max_connections=4)
    >>> newest = Deployment(version=2, services=(service,))
    >>> known = DocumentParts.from_deployment(Deployment(version=1))
    >>> query = known.make_query()
    >>> answer = DocumentParts.from_deployment(newest).answer(query, confirmed=True)
    >>> known.apply(answer).deployment == newest
    True
    """

    __slots__ = ("_digest", "_parts", "_summaries", "deployment")

    def __init__(self, deployment: Deployment, parts: Sequence[_IndexedPart]) -> None:
        #: The document.
        self.deployment = deployment
        self._parts = parts
        self._digest: bytes | None = None
        # The digests of the buckets, by the number of buckets.
        self._summaries: dict[int, bytes] = {}

    @classmethod
    def from_deployment(
        cls, deployment: Deployment, known: DocumentParts | None = None
    ) -> DocumentParts:
        """Index the parts of a document.

        :param deployment: the document.
        :param known: an earlier version; parts that it has too cost less.
        """
        earlier = {x.place: x for x in known._parts} if known is not None else {}
        parts = [_index_part(each, earlier) for each in _list_parts(deployment)]
        return cls(deployment, parts)

    @property
    def digest(self) -> bytes:
        """Digest of the whole document, apart from its version."""
        if self._digest is None:
            rest = _digest_rest(self.deployment)
            digest = sum((each.common_digest for each in self._parts), rest)
            self._digest = _cut_digest(digest, DIGEST_BYTES)
        return self._digest

    def make_query(self) -> DocumentQuery:
        """Make the question for what changed since this version."""
        wanted = BUCKETS_PER_ROOT * len(self._parts) ** 0.5
        buckets = MIN_BUCKETS
        while buckets * 2 <= min(wanted, MAX_BUCKETS):
            buckets *= 2
        return DocumentQuery(
            version=self.deployment.version, buckets=self._summarise(buckets)
        )

    def answer(self, query: DocumentQuery, *, confirmed: bool) -> DocumentAnswer:
        """Answer the question of an entry host.

        :param query: the question.
        :param confirmed: whether it is confirmed that there is no newer document.
        :returns: the parts in the buckets that differ, or all if the question has no
            digests that can be compared.
        """
        deployment = self.deployment
        if query.version >= deployment.version:
            return DocumentAnswer(version=deployment.version, confirmed=confirmed)
        count = len(query.buckets) // BUCKET_DIGEST_BYTES
        buckets = None
        parts: Iterable[_Part] = (each.part for each in self._parts)
        if _is_bucket_count(count) and len(query.buckets) % BUCKET_DIGEST_BYTES == 0:
            buckets = _list_different(self._summarise(count), query.buckets)
            wanted = set(buckets)
            parts = (x.part for x in self._parts if x.place % count in wanted)
        listed = tuple(parts)
        return DocumentAnswer(
            version=deployment.version,
            confirmed=confirmed,
            digest=self.digest,
            buckets=buckets,
            routes=tuple(x for x in listed if isinstance(x, ForwardRoute)),
            services=tuple(x for x in listed if isinstance(x, ForwardService)),
            holders=tuple(x for x in listed if isinstance(x, OrganisationKeys)),
            requires_keys=deployment.holders is not None,
            limits=deployment.limits,
        )

    def apply(self, answer: DocumentAnswer) -> DocumentParts | DigestMismatch:
        """Apply the answer to the question that these parts have made.

        :param answer: the answer.
        :returns: the newer document; a mismatch if the answer doesn't lead to it.
        """
        kept: Iterable[_IndexedPart] = ()
        if answer.buckets is not None:
            count = len(self.make_query().buckets) // BUCKET_DIGEST_BYTES
            replaced = set(answer.buckets)
            kept = (x for x in self._parts if x.place % count not in replaced)
        return _build_parts(kept, answer)

    def _summarise(self, count: int) -> bytes:
        """Return the digests of the buckets, one after the other."""
        known = self._summaries.get(count)
        if known is not None:
            return known
        digests = [0] * count
        for each in self._parts:
            digests[each.place % count] += each.digest
        summary = b"".join(_cut_digest(x, BUCKET_DIGEST_BYTES) for x in digests)
        self._summaries = {count: summary}
        return summary


def build_document(answer: DocumentAnswer) -> DocumentParts | DigestMismatch:
    """Build a document from an answer that holds the whole of it.

    :param answer: the answer.
    :returns: the document; a mismatch if the answer isn't the whole.
    """
    return _build_parts((), answer)


def _build_parts(
    kept: Iterable[_IndexedPart], answer: DocumentAnswer
) -> DocumentParts | DigestMismatch:
    sent: tuple[_Part, ...] = (*answer.routes, *answer.services, *answer.holders)
    parts = [*kept, *(_index_part(each, {}) for each in sent)]
    deployment = Deployment(
        version=answer.version,
        routes=tuple(x.part for x in parts if isinstance(x.part, ForwardRoute)),
        services=tuple(x.part for x in parts if isinstance(x.part, ForwardService)),
        holders=(
            tuple(x.part for x in parts if isinstance(x.part, OrganisationKeys))
            if answer.requires_keys
            else None
        ),
        limits=answer.limits,
    )
    built = DocumentParts(deployment, parts)
    return built if built.digest == answer.digest else DigestMismatch(answer.version)


def _list_parts(deployment: Deployment) -> Iterator[_Part]:
    yield from deployment.routes
    yield from deployment.services
    yield from deployment.holders or ()


def _index_part(part: _Part, earlier: dict[int, _IndexedPart]) -> _IndexedPart:
    place = xxhash.xxh3_64_intdigest(_identify(part))
    known = earlier.get(place)
    if known is not None and known.part == part:
        return known
    if isinstance(part, ForwardService):
        part_without_path = msgspec.structs.replace(part, health_path=msgspec.UNSET)
        common = msgspec.structs.replace(
            part_without_path, warm_up_rate=msgspec.UNSET, warm_up_s=msgspec.UNSET
        )
        # Buckets differ by warm-ups too, so that a change of these is sent. Hosts of
        # earlier builds drop them, so the whole document's digest leaves them out.
        return _IndexedPart(
            part, place, _digest_part(part_without_path), _digest_part(common)
        )
    digest = _digest_part(part)
    return _IndexedPart(part, place, digest, digest)


def _digest_part(part: _Part) -> int:
    text = f"{type(part).__name__} ".encode() + encode_json(part)
    return int(xxhash.xxh3_128_intdigest(text))


def _identify(part: _Part) -> str:
    if isinstance(part, ForwardRoute):
        return f"route {part.host} {part.prefix}"
    kind = "service" if isinstance(part, ForwardService) else "organisation"
    return f"{kind} {part.name}"


def _digest_rest(deployment: Deployment) -> int:
    """Digest what a document says besides its parts."""
    rest: tuple[bool, CallerLimits] = (
        deployment.holders is not None,
        deployment.limits,
    )
    return xxhash.xxh3_128_intdigest(encode_json(rest))


def _cut_digest(digest: int, size: int) -> bytes:
    """Cut the sum of digests to a number of bytes.

    Sums don't depend on the order, and a part that stands twice doesn't cancel itself.
    """
    return (digest % (1 << 8 * size)).to_bytes(size, "big")


def _is_bucket_count(count: int) -> bool:
    return MIN_BUCKETS <= count <= MAX_BUCKETS and count & (count - 1) == 0


def _list_different(own: bytes, others: bytes) -> tuple[int, ...]:
    """List the numbers of the buckets whose digests differ."""
    size = BUCKET_DIGEST_BYTES
    return tuple(
        at // size
        for at in range(0, len(own), size)
        if own[at : at + size] != others[at : at + size]
    )
