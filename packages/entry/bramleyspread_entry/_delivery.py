"""Checks of answers and tokens from targets, before they are passed on."""

from __future__ import annotations

from bramleyspread_core import (
    Fault,
    Reason,
    SendToken,
    StreamToken,
    TargetAnswer,
)
from bramleyspread_entry._attempts import Attempt
from bramleyspread_entry._pipeline import PipelineRun
from bramleyspread_entry._state import EntryState


class Delivery:
    """Checks answers and tokens from targets, and passes tokens on to the callers."""

    __slots__ = ("_state",)

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def find_fault(
        self, run: PipelineRun, attempt: Attempt, answer: TargetAnswer
    ) -> Fault | None:
        """Find the fault for which an answer must not be passed on.

        :param run: the request.
        :param attempt: the attempt on whose connection the answer was received.
        :param answer: the answer.
        :returns: a fault when the answer names another request, stage or attempt, or
            when some of its tokens are missing; else None.
        """
        identity = (answer.request, answer.stage, answer.attempt)
        if identity != (attempt.request, attempt.stage, attempt.id):
            detail = f"the answer names {answer.attempt} in place of {attempt.id}"
            self._state.report("crossed-dropped", run, attempt.target, detail)
            return Fault(Reason.CROSSED, attempt.stage, attempt.target, detail)
        if run.is_streaming and len(run.tokens) < answer.usage.tokens_out:
            detail = f"{len(run.tokens)} of {answer.usage.tokens_out} tokens came"
            self._state.report("cut-off-dropped", run, attempt.target, detail)
            return Fault(Reason.PROTOCOL, attempt.stage, attempt.target, detail)
        return None

    def deliver_token(
        self, run: PipelineRun, attempt: Attempt, token: StreamToken
    ) -> bool:
        """Pass a token on to the caller if it is the next one of the stream.

        :param run: the request.
        :param attempt: the attempt on whose connection the token was received.
        :param token: the token.
        :returns: False when an earlier token is missing, so that the attempt can no
            longer give a whole answer.
        """
        if token.attempt != attempt.id or not run.is_streaming or run.answered:
            self._state.report("token-dropped", run, attempt.target, "crossed")
            return True
        if run.streaming_attempt not in (None, attempt.id) or token.index < len(
            run.tokens
        ):
            self._state.event_counts["token-dropped"] += 1
            return True
        if token.index > len(run.tokens):
            return False
        run.streaming_attempt = attempt.id
        run.stream_version = attempt.model_version
        run.tokens.append(token.token)
        self._state.emit(SendToken(run.request.request, token))
        return True
