"""Which answers and tokens may be passed on."""

from __future__ import annotations

from bramleyspread_core import (
    Fault,
    Reason,
    SendToken,
    StreamToken,
    TargetAnswer,
)
from bramleyspread_entry._attempts import Attempt
from bramleyspread_entry._pipeline import Run
from bramleyspread_entry._state import EntryState


class Delivery:
    """Ties answers and tokens to request, stage and attempt."""

    __slots__ = ("_state",)

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def find_fault(
        self, run: Run, attempt: Attempt, answer: TargetAnswer
    ) -> Fault | None:
        """Find why an answer must not be passed on.

        :param run: the request.
        :param attempt: the attempt that it came for.
        :param answer: the answer.
        :returns: a fault for a crossed or cut-off answer, else None.
        """
        named = (answer.request, answer.stage, answer.attempt)
        if named != (attempt.request, attempt.stage, attempt.id):
            detail = f"the answer names {answer.attempt} in place of {attempt.id}"
            self._state.report("crossed-dropped", run, attempt.target, detail)
            return Fault(Reason.CROSSED, attempt.stage, attempt.target, detail)
        if run.streams and len(run.tokens) < answer.usage.tokens_out:
            detail = f"{len(run.tokens)} of {answer.usage.tokens_out} tokens came"
            self._state.report("cut-off-dropped", run, attempt.target, detail)
            return Fault(Reason.PROTOCOL, attempt.stage, attempt.target, detail)
        return None

    def take_token(self, run: Run, attempt: Attempt, token: StreamToken) -> bool:
        """Pass a token on if it is the next one.

        :param run: the request.
        :param attempt: the attempt that it came for.
        :param token: the token.
        :returns: False when a token is missing before it, so that the attempt
            can't be whole any more.
        """
        if token.attempt != attempt.id or not run.streams or run.answered:
            self._state.report("token-dropped", run, attempt.target, "crossed")
            return True
        if run.speaker not in (None, attempt.id) or token.index < len(run.tokens):
            self._state.counts["token-dropped"] += 1
            return True
        if token.index > len(run.tokens):
            return False
        run.speaker = attempt.id
        run.tokens.append(token.token)
        self._state.emit(SendToken(run.request.request, token))
        return True
