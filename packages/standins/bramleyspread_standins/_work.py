"""What stand-ins read and write in payloads, so that callers can check answers.

Every output repeats the marker of the input it was made from. A caller that
finds another marker, another brand or a missing stage holds an answer that is
not its own whole one.
"""

from __future__ import annotations

import msgspec
import xxhash

from bramleyspread_core import MessageError, TargetCall, decode_json


class StageRecord(msgspec.Struct, frozen=True):
    """One stage's mark on a payload."""

    #: The stage.
    stage: str
    #: The target that ran it.
    target: str
    #: The key of the brand that it ran for.
    brand: str
    #: Time at the target from arrival to the result, in microseconds.
    us: int


class StagePayload(msgspec.Struct, frozen=True, omit_defaults=True):
    """The input and the output of every stand-in."""

    #: The caller's own mark of its request; every output repeats it.
    marker: str
    #: Prompt tokens that a generation stage reads.
    prompt_tokens: int = 64
    #: Stages run so far.
    trail: tuple[StageRecord, ...] = ()
    #: Generated text; empty before generation.
    text: str = ""

    def add_stage(self, step: StageRecord, text: str) -> StagePayload:
        """Make the output of a stage.

        :param step: the stage's mark.
        :param text: what it generated; empty for plain stages.
        :returns: this work with the stage done.
        """
        return StagePayload(self.marker, self.prompt_tokens, (*self.trail, step), text)


class InvalidPayload(msgspec.Struct, frozen=True):
    """An input that no stand-in understands."""

    #: What is wrong with it.
    reason: str


def parse_payload(call: TargetCall) -> StagePayload | InvalidPayload:
    """Read the input of a call.

    :param call: the call.
    :returns: its work, or what is wrong with it.
    """
    try:
        return decode_json(bytes(call.input), StagePayload)
    except MessageError as error:
        return InvalidPayload(f"input: {error}")


def make_token(marker: str, stage: str, model: str, index: int) -> str:
    """Make one token, the same on every target for the same request.

    :param marker: the caller's mark of its request.
    :param stage: the stage.
    :param model: the model.
    :param index: the token's position, from 0.
    :returns: text that ends in a space.

    >>> make_token("m1", "generate", "rules", 3)
    'm1.3.6c '
    """
    digest = xxhash.xxh32_hexdigest(f"{marker}|{stage}|{model}|{index}")[:2]
    return f"{marker}.{index}.{digest} "
