"""Checks the contracts under random requests, outcomes and orders of events."""

from __future__ import annotations

from collections import Counter

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from bramleyspread_core import (
    AnswerRefused,
    AnswerWhole,
    ClaimDone,
    Claimed,
    ClaimRunning,
    CommandResult,
    Dispatch,
    Fault,
    NotRun,
    Reason,
    RequestId,
    SendAnswer,
    SendClaim,
    SendSettlement,
    SendToken,
    Settled,
    Undecided,
    Unknown,
)
from bramleyspread_entry.tests.harness import Harness, make_done, make_other_attempt_id

REASONS = st.sampled_from(
    [Reason.CLOSED, Reason.SILENT, Reason.TARGET, Reason.REFUSED, Reason.CONNECT]
)


class EntryMachine(RuleBasedStateMachine):
    """Random targets, control hosts and callers of one entry host.

    Hypothesis sorts rules by name: renaming one changes the examples that it makes.
    """

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        self.harness = Harness(seed)
        self.checked = 0
        self.submitted: list[RequestId] = []
        self.answers: Counter[RequestId] = Counter()
        self.tokens: Counter[RequestId] = Counter()
        self.in_flight: list[Dispatch] = []
        self.ended: list[Dispatch] = []
        self.run_counts: Counter[tuple[RequestId, str]] = Counter()
        self.refused: set[RequestId] = set()
        self.claims: list[SendClaim] = []
        self.settlements: list[SendSettlement] = []

    @rule(
        pipeline=st.sampled_from(["check", "pay", "pay-and-explain"]),
        key=st.sampled_from(["", "k1", "k2"]),
        stream=st.booleans(),
        deadline=st.sampled_from([None, 50, 400]),
    )
    def ask(self, pipeline: str, key: str, stream: bool, deadline: int | None) -> None:
        self.submitted.append(
            self.harness.submit(pipeline, key=key, stream=stream, deadline_ms=deadline)
        )

    @precondition(lambda self: self.submitted)
    @rule(data=st.data())
    def leave(self, data: st.DataObject) -> None:
        request = data.draw(st.sampled_from(self.submitted))
        harness = self.harness
        harness.collect(harness.host.handle_caller_disconnect(request, harness.now))

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), how=st.sampled_from("ddddtnuxc"), reason=REASONS)
    def end(self, data: st.DataObject, how: str, reason: Reason) -> None:
        """End an attempt: d(one), n(ot run), x (answers another attempt), else unknown.

        With t a token is sent instead, and the attempt stays in flight.
        """
        dispatch = data.draw(st.sampled_from(self.in_flight))
        call = dispatch.call
        if how == "t":
            index = data.draw(st.integers(0, 3))
            self.harness.send_token(dispatch, index)
            return
        self.in_flight.remove(dispatch)
        self.ended.append(dispatch)
        if how == "n":
            self.harness.end_attempt(dispatch, NotRun(Fault(reason, "s", "t")))
            return
        self.run_counts[call.request, call.stage] += 1
        if how == "d":
            self.harness.complete(dispatch, '"x"', tokens=data.draw(st.integers(0, 2)))
        elif how == "x":
            answer = make_done(dispatch).answer
            crossed = msgspec.structs.replace(answer, attempt=make_other_attempt_id())
            done = msgspec.structs.replace(make_done(dispatch), answer=crossed)
            self.harness.end_attempt(dispatch, done)
        else:
            self.harness.end_attempt(dispatch, Unknown(Fault(reason, "s", "t")))

    @precondition(lambda self: self.ended)
    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        dispatch = data.draw(st.sampled_from(self.ended))
        self.harness.complete(dispatch, '"late"')

    @precondition(lambda self: self.claims)
    @rule(data=st.data(), how=st.sampled_from("ccc?rd"))
    def answer_claim(self, data: st.DataObject, how: str) -> None:
        """Answer a claim: c(laimed), ? (undecided), r(unning) or d(one)."""
        claim = data.draw(st.sampled_from(self.claims))
        self.claims.remove(claim)
        results: dict[str, CommandResult] = {
            "c": Claimed(),
            "?": Undecided("?"),
            "r": ClaimRunning(RequestId("other"), 10),
            "d": ClaimDone(RequestId("other"), msgspec.Raw(b'"stored"')),
        }
        harness = self.harness
        harness.collect(
            harness.host.handle_claim_result(claim.request, results[how], harness.now)
        )

    @precondition(lambda self: self.settlements)
    @rule(data=st.data(), durable=st.booleans())
    def answer_settle(self, data: st.DataObject, durable: bool) -> None:
        settlement = data.draw(st.sampled_from(self.settlements))
        self.settlements.remove(settlement)
        result = Settled() if durable else Undecided("?")
        harness = self.harness
        harness.collect(
            harness.host.handle_settlement_result(
                settlement.request, result, harness.now
            )
        )

    @rule(seconds=st.sampled_from([0.001, 0.06, 0.5, 5.0]))
    def wait(self, seconds: float) -> None:
        self.harness.pass_time(seconds)

    @rule()
    def drain(self) -> None:
        harness = self.harness
        harness.collect(harness.host.begin_drain(harness.now))

    @invariant()
    def contracts_hold(self) -> None:
        new = self.harness.effects[self.checked :]
        self.checked = len(self.harness.effects)
        for effect in new:
            if isinstance(effect, Dispatch):
                self.in_flight.append(effect)
            elif isinstance(effect, SendClaim):
                self.claims.append(effect)
            elif isinstance(effect, SendSettlement):
                self.settlements.append(effect)
            elif isinstance(effect, SendToken):
                assert effect.token.index == self.tokens[effect.request]
                assert not self.answers[effect.request]
                self.tokens[effect.request] += 1
            elif isinstance(effect, SendAnswer):
                self.check_answer(effect)
        assert not any(
            self.run_counts[request, "pay"] > 1 for request, _ in self.run_counts
        )
        assert not any(request in self.refused for request, _ in self.run_counts)

    def check_answer(self, effect: SendAnswer) -> None:
        self.answers[effect.request] += 1
        assert self.answers[effect.request] == 1
        if isinstance(effect.answer, AnswerRefused):
            self.refused.add(effect.request)
        if isinstance(effect.answer, AnswerWhole) and not effect.answer.repeated:
            assert (
                self.run_counts[effect.request, "explain"]
                or self.run_counts[effect.request, "pay"]
            )

    def teardown(self) -> None:
        harness = self.harness
        for _ in range(10):
            harness.pass_time(20.0)
            self.contracts_hold()
            for settlement in self.settlements:
                harness.collect(
                    harness.host.handle_settlement_result(
                        settlement.request, Settled(), harness.now
                    )
                )
            self.settlements.clear()
        assert all(self.answers[request] == 1 for request in self.submitted)
        assert harness.host.in_flight == 0
        report = harness.host.cost_report()
        assert sum(row.cost.attempts for row in report.rows) == report.total.attempts
        assert sum(row.cost.target_us for row in report.rows) == report.total.target_us


TestEntryMachine = EntryMachine.TestCase
TestEntryMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=40
)
