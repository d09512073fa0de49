"""Why a stream that a caller took up, or that broke off, did not go on."""

from __future__ import annotations

from collections.abc import Sequence

from bramleyspread_tool._log_files import LogFiles, LogLine

#: What ends say of streams that are bound to a software version.
BOUND_TEXTS = (
    "software version that began the stream",
    "software version began the stream",
    "the service that began the stream",
)
#: Time for which a target counts as serving after it got a request, in seconds.
SERVING_S = 10.0


def find_bound_stream(
    end: LogLine | None, entry_host: str, lines: Sequence[LogLine], logs: LogFiles
) -> str:
    """Explain why no target was allowed to go on with a stream.

    :param end: the line about the request's end.
    :param entry_host: the host that received the request.
    :param lines: the lines about the request.
    :param logs: all lines.
    :returns: the cause; empty if the request ended for another reason.
    """
    texts = [line.text for line in lines]
    if not any(bound in text for bound in BOUND_TEXTS for text in texts):
        return ""
    resumed = next((x for x in lines if x.step == "resume"), None)
    begun = [x.fields.get("software") for x in lines if x.step in ("resume", "place")]
    version = next((each for each in begun if each is not None), None)
    stream = resumed.fields.get("resumes") if resumed is not None else lines[0].request
    cause = f"stream {stream} was begun by software version {version or 'unknown'}"
    placed_at = end.at if end is not None else lines[-1].at
    serving = {
        str(line.fields["software"])
        for host_lines in logs.by_host.values()
        for line in host_lines
        if line.step == "place"
        and line.fields.get("software") is not None
        and 0 <= placed_at - line.at <= SERVING_S
    }
    if serving:
        cause += f"; requests went to {', '.join(sorted(serving))} then"
    return cause
