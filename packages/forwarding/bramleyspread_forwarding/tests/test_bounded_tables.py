"""Tables that peers can grow stay small."""

from __future__ import annotations

from bramleyspread_forwarding import Prompt, PromptPart, Readiness
from bramleyspread_forwarding._accounts import MAX_TRACKED_PARTS, TargetTracker
from bramleyspread_forwarding._software_history import SoftwareHistory
from bramleyspread_forwarding._stream_origins import ORIGIN_RETENTION_S
from bramleyspread_forwarding.tests.builders import make_notice


# Guards against prompts with ever new parts that an entry host remembers all at once.
def test_newest_parts_of_prompts_are_kept() -> None:
    tracker = TargetTracker()
    for number in range(4 * MAX_TRACKED_PARTS):
        tracker.record_parts(("shared", f"p{number}"), 1.0)
    assert len(tracker._parts_sent_at) <= MAX_TRACKED_PARTS
    last = f"p{4 * MAX_TRACKED_PARTS - 1}"
    for part in ("shared", last):
        parts = (PromptPart(part, 100), PromptPart("own", 10))
        prompt = Prompt(model="m", tokens_in=110, tokens_out=1, parts=parts)
        assert tracker.count_unread_tokens(prompt, 1.0) == 10


# Guards against a target that starts again with ever new versions, all remembered.
def test_versions_that_no_stream_can_have_are_forgotten() -> None:
    history = SoftwareHistory()
    for number in range(500):
        now = float(number)
        history.update([make_notice(service=f"s{number}", software="v")], now)
        history.update([make_notice(service="llm", software=f"v{number}")], now)
    kept = {name: len(each) for name, each in history._seen_at.items()}
    assert sum(kept.values()) <= 2 * (ORIGIN_RETENTION_S + 2)
    assert len(kept) <= ORIGIN_RETENTION_S + 3
    assert history.find_sole_version("llm", 499.0) is None
    assert history.find_sole_version("s499", 499.0) == "v"


# Guards against the version of a target that has long gone, taken for a recent one.
def test_version_of_a_gone_target_is_not_seen_anew() -> None:
    history = SoftwareHistory()
    gone = make_notice(target="a", software="v1", readiness=Readiness.GONE)
    for now in (0.0, ORIGIN_RETENTION_S + 1, ORIGIN_RETENTION_S + 2):
        history.update([gone, make_notice(target="b", software="v2")], now)
    assert history.find_sole_version("photos", ORIGIN_RETENTION_S + 3) == "v2"
