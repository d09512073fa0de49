"""A request that crashes each target which runs it, and comes again."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Dispatch, Reason, TargetName
from bramleyspread_entry.tests.harness import (
    Harness,
    make_done,
    make_not_run,
    make_unknown,
)

#: How often the request comes, and after what time again, in seconds.
REPEATS, REPEATED_S = 20, 2.0
#: Number of targets that one request may crash in all.
MAX_CRASHES = 8
FATAL = msgspec.Raw(b'"what crashes targets"')


def restart_target(harness: Harness, target: TargetName) -> None:
    """Let a target come back with a later incarnation."""
    for views in harness.directory.pools.values():
        for at, view in enumerate(views):
            known = view.announcement
            if known.target == target:
                restarted = msgspec.structs.replace(
                    known, incarnation=known.incarnation + 1
                )
                views[at] = msgspec.structs.replace(view, announcement=restarted)


# Guards against a request that crashes one target after the other each time it comes,
# in the product's own entry role.
def test_request_that_crashes_targets_is_refused_once_it_is_known() -> None:
    harness = Harness()
    crashes, sound = 0, 0
    for _ in range(REPEATS):
        seen = len(harness.effects)
        harness.submit("check", input=FATAL)
        harness.submit("check", input=msgspec.Raw(b'"sound"'))
        down: set[TargetName] = set()
        while seen < len(harness.effects):
            effect = harness.effects[seen]
            seen += 1
            if not isinstance(effect, Dispatch):
                continue
            if effect.target in down:
                harness.end_attempt(effect, make_not_run(Reason.CONNECT))
            elif effect.call.input == FATAL:
                crashes += 1
                down.add(effect.target)
                harness.end_attempt(effect, make_unknown())
            else:
                sound += effect.call.stage == "encode"
                harness.end_attempt(effect, make_done(effect))
        for target in down:
            restart_target(harness, target)
        harness.pass_time(REPEATED_S)
    assert sound > 0
    assert crashes <= MAX_CRASHES
