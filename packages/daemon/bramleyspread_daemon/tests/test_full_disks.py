"""Test that changes are accepted after the disks of control processes were full."""

from __future__ import annotations

import sys
from pathlib import Path

import curio

from bramleyspread_daemon.tests.full_disk_process import MARKER_SUFFIX
from bramleyspread_daemon.tests.loopback import HANGING_S, run
from bramleyspread_daemon.tests.test_lost_folder import NAMES, ControlProcesses

#: Time for which each disk is full, in seconds.
FULL_S = 2.0
#: Time after which hosts count as in contact, in seconds.
CONTACT_S = 3.0
#: Time in which a change is then accepted, in seconds.
ACCEPTED_S = 4.0


class _ProcessesOnFullDisks(ControlProcesses):
    """Control processes whose disks are full while marker files are there."""

    program = (sys.executable, str(Path(__file__).with_name("full_disk_process.py")))


# Changes were unanswered for good after the disks of all hosts had been full in turn.
def test_changes_are_accepted_after_all_disks_were_full_in_turn(tmp_path: Path) -> None:
    async def main() -> None:
        hosts = _ProcessesOnFullDisks(tmp_path)
        try:
            for name in NAMES:
                hosts.start(name)
            await hosts.submit(1)
            version = 1
            for name in (*NAMES, *NAMES):
                marker = tmp_path / f"{name}{MARKER_SUFFIX}"
                marker.touch()
                version += 1
                changing = await curio.spawn(hosts.submit, version)
                await curio.sleep(FULL_S)
                marker.unlink()
                await changing.join()
            await curio.sleep(CONTACT_S)
            async with curio.timeout_after(ACCEPTED_S):
                await hosts.submit(version + 1)
                for name in NAMES:
                    await hosts.wait_for_version(name, version + 1)
            for name in NAMES:
                text = (tmp_path / f"{name}.jsonl").read_text()
                assert text.count("disk-recovered") == text.count("disk-failed") > 0
        finally:
            for name in tuple(hosts.running):
                hosts.kill(name)

    run(main, hanging_s=HANGING_S + 2 * len(NAMES) * FULL_S + CONTACT_S)
