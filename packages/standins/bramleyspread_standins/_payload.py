"""The payload format of the stand-ins, which lets callers verify their answers.

Every output repeats the marker of its input. An answer with a different marker or
brand belongs to another request; one with a missing stage is incomplete.
"""

from __future__ import annotations

import msgspec
import xxhash

from bramleyspread_core import MessageError, TargetCall, decode_json


class StageRecord(msgspec.Struct, frozen=True):
    """The record that a stage adds to a payload."""

    stage: str
    #: The target that ran it.
    target: str
    #: The key of the brand that the stage ran for.
    brand: str
    #: Time from arrival at the target to the result, in microseconds.
    us: int


class StagePayload(msgspec.Struct, frozen=True, omit_defaults=True):
    """The input and output of every stand-in target."""

    #: Identifies the caller's request; repeated in every output.
    marker: str
    #: Number of prompt tokens that a generation stage reads.
    prompt_tokens: int = 64
    #: Records of the stages run so far.
    trail: tuple[StageRecord, ...] = ()
    #: Generated text; empty before generation.
    text: str = ""

    def add_stage(self, record: StageRecord, text: str) -> StagePayload:
        """Make the output of a stage.

        :param record: the record of the stage.
        :param text: the generated text; empty for plain stages.
        :returns: a payload with the record added.
        """
        return StagePayload(
            self.marker, self.prompt_tokens, (*self.trail, record), text
        )


class InvalidPayload(msgspec.Struct, frozen=True):
    """An input that could not be decoded."""

    #: A description of the error.
    reason: str


def parse_payload(call: TargetCall) -> StagePayload | InvalidPayload:
    """Decode the input of a call.

    :param call: the call.
    :returns: the payload, or the error.
    """
    try:
        return decode_json(bytes(call.input), StagePayload)
    except MessageError as error:
        return InvalidPayload(f"input: {error}")


def make_token(marker: str, stage: str, model: str, index: int) -> str:
    """Make one token; it is the same on every target for the same request.

    :param marker: the marker of the request.
    :param stage: the stage.
    :param model: the model.
    :param index: the token's position, from 0.
    :returns: text that ends in a space.

    >>> make_token("m1", "generate", "rules", 3)
    'm1.3.6c '
    """
    digest = xxhash.xxh32_hexdigest(f"{marker}|{stage}|{model}|{index}")[:2]
    return f"{marker}.{index}.{digest} "
