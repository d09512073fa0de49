"""Generates the callers' requests of a demo from a seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from bramleyspread_core import Brand, Pipeline, ServiceDocument

#: Share of the requests that are sent in bursts.
BURST_SHARE = 0.45
BURST_COUNT = 3
#: Duration of one burst, in seconds.
BURST_DURATION_S = 0.1
#: Share of the requests with an idempotency key that are sent twice under it.
RESEND_SHARE = 0.5
#: Maximum time between a request and its resend, in seconds.
MAX_RESEND_DELAY_S = 1.0
#: Share of the requests to a streaming pipeline that ask for a stream.
STREAMING_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request of a caller."""

    #: Identifies the request; every complete answer must repeat it.
    marker: str
    #: When it is sent, in seconds from the start of the load.
    sent_at_s: float
    service: str
    #: The declaration of the pipeline in its document.
    pipeline: Pipeline
    #: The brand that the request is sent for.
    brand: Brand
    #: The priority, from 0 (most urgent) to 9 (least urgent).
    priority: int
    #: The idempotency key; empty for a request that may be repeated.
    idempotency_key: str
    #: Whether the caller asks for a stream.
    wants_stream: bool
    #: Delay after which the caller sends the request again under the same key, in
    #: seconds; None to send it once.
    resend_delay_s: float | None

    @property
    def deadline_s(self) -> float:
        """The deadline for the complete answer, in seconds."""
        return self.pipeline.deadline_ms / 1_000


class RequestGenerator:
    """Generates random requests to the pipelines of a set of documents."""

    __slots__ = ("_choices", "_marker_prefix", "_rng", "_weights")

    def __init__(
        self, documents: Sequence[ServiceDocument], seed: int, marker_prefix: str
    ) -> None:
        self._rng = random.Random(seed)
        self._marker_prefix = marker_prefix
        self._choices = [
            (document, pipeline)
            for document in documents
            for pipeline in document.pipelines
        ]
        self._weights = [_get_weight(pipeline) for _, pipeline in self._choices]

    def draw_load(self, count: int, duration_s: float) -> list[CallerRequest]:
        """Draw requests that are sent partly at random times and partly in bursts.

        :param count: the number of requests.
        :param duration_s: the time over which they are sent, in seconds.
        :returns: the requests, sorted by time.
        """
        in_bursts = round(count * BURST_SHARE)
        bursts = [duration_s * (i + 1) / (BURST_COUNT + 1) for i in range(BURST_COUNT)]
        times = [
            bursts[i % BURST_COUNT] + self._rng.uniform(0, BURST_DURATION_S)
            for i in range(in_bursts)
        ]
        times += [self._rng.uniform(0, duration_s) for _ in range(count - in_bursts)]
        return [
            self.draw_request(number, at) for number, at in enumerate(sorted(times))
        ]

    def draw_request(self, number: int, sent_at_s: float) -> CallerRequest:
        """Draw one request to a random pipeline.

        :param number: the number of the request in the run.
        :param sent_at_s: when it is sent, in seconds from the start of the load.
        """
        rng = self._rng
        document, pipeline = rng.choices(self._choices, self._weights)[0]
        return self.make_request(
            document, pipeline, f"{self._marker_prefix}-{number}", sent_at_s
        )

    def make_request(
        self,
        document: ServiceDocument,
        pipeline: Pipeline,
        marker: str,
        sent_at_s: float,
    ) -> CallerRequest:
        """Make a request for one pipeline.

        :param document: the service.
        :param pipeline: the pipeline.
        :param marker: the marker of the request.
        :param sent_at_s: when it is sent, in seconds from the start of the load.
        """
        rng = self._rng
        keyed = not pipeline.idempotent
        resent = keyed and rng.random() < RESEND_SHARE
        return CallerRequest(
            marker=marker,
            sent_at_s=sent_at_s,
            service=document.service,
            pipeline=pipeline,
            brand=self._draw_brand(document),
            priority=rng.choice((1, 5, 5, 8)),
            idempotency_key=f"key-{marker}" if keyed else "",
            wants_stream=pipeline.stages[-1].stream and rng.random() < STREAMING_SHARE,
            resend_delay_s=rng.uniform(0, MAX_RESEND_DELAY_S) if resent else None,
        )

    def _draw_brand(self, document: ServiceDocument) -> Brand:
        rng = self._rng
        shares = [each.share for each in document.organisations]
        organisation = rng.choices(document.organisations, shares)[0]
        brand_shares = [each.share for each in organisation.brands]
        brand = rng.choices(organisation.brands, brand_shares)[0]
        return Brand(organisation.name, brand.name)


def _get_weight(pipeline: Pipeline) -> float:
    if not pipeline.idempotent:
        return 3.0
    return 2.0 if pipeline.stages[-1].stream else 0.7
