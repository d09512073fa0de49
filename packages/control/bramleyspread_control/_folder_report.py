"""What a data folder holds when a host starts on it."""

from __future__ import annotations

from bramleyspread_control._report_schedule import MAX_NAMED_HOSTS
from bramleyspread_control._store import Store
from bramleyspread_core import UnstampedEvent


def describe_folder(store: Store) -> list[UnstampedEvent]:
    """Describe what a data folder holds, in one event for the folder and each group.

    :param store: the loaded folder.
    """
    header = store.header
    held = f"deployment {header.deployment}" if header.deployment else "no deployment"
    detail = f"{held}, folder {header.incarnation}"
    events = [UnstampedEvent("folder-loaded", step="folder", detail=detail)]
    if not header.deployment:
        return events
    for group, replica in store.replicas.items():
        log = replica.log
        voters = ", ".join(each.host for each in log.members.voters[:MAX_NAMED_HOSTS])
        trust = "trusted" if replica.consensus.log_complete else "not trusted"
        detail = (
            f"term {replica.consensus.term}, last entry {log.last_index} of term "
            f"{log.last_term}, committed {log.commit_index}, {trust}; voters: "
            f"{voters or '-'}"
        )
        events.append(
            UnstampedEvent("folder-loaded", step=f"group-{group}", detail=detail)
        )
    return events
