"""Checks invariants of directories over random sequences of faults."""

from __future__ import annotations

from random import Random

import pytest

from bramleyspread_membership.tests.network import POOL, Network
from bramleyspread_membership.tests.test_directory import ZONES, make_page

#: Longest time that a target may stay usable after it stopped serving.
MAX_USABLE_AFTER_STOP_S = 3.0


class RandomRun:
    """A network with random events, and the state to check its invariants against."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.net = Network(ZONES, seed)
        #: When each incarnation of a target stopped serving, by target and incarnation.
        self.stopped_at: dict[tuple[str, int], float] = {}
        #: The document version last seen in force on each host.
        self.versions = dict.fromkeys(self.net.hosts, 0)
        #: The document version submitted last.
        self.last_version = 0
        for number in range(12):
            self.net.add_target(f"t-{number}", "abc"[number % 3])

    def apply_random_event(self) -> None:
        net, rng = self.net, self.rng
        events = [
            self.block_link,
            self.restore_links,
            self.mark_target_leaving,
            self.restart_target_unannounced,
            self.suspend_host,
        ]
        events += [
            self.resume_hosts,
            self.restart_host,
            self.submit_document,
            self.degrade_links,
        ]
        rng.choice(events)()
        net.run(rng.uniform(0.1, 2.0))

    def block_link(self) -> None:
        sender, receiver = self.rng.sample(list(self.net.zones), 2)
        self.net.blocked_links.add((sender, receiver))

    def restore_links(self) -> None:
        self.net.blocked_links.clear()
        self.net.extra_delay_s.clear()

    def degrade_links(self) -> None:
        self.net.loss = self.rng.choice([0.0, 0.05, 0.3])
        self.net.duplication = self.rng.choice([0.0, 0.3])
        host = self.rng.choice(list(self.net.zones))
        self.net.extra_delay_s[host] = self.rng.choice([0.0, 0.4])

    def mark_target_leaving(self) -> None:
        name = self.rng.choice(list(self.net.targets))
        self.record_target_stopped(name)
        self.net.mark_leaving(name)
        self.net.announce(name)

    def restart_target_unannounced(self) -> None:
        """Stop a target without an announcement, and start its next incarnation."""
        name = self.rng.choice(list(self.net.targets))
        self.record_target_stopped(name)
        old = self.net.targets.pop(name)
        self.net.add_target(name, old.zone)
        self.net.change_target(name, incarnation=old.incarnation + 1)

    def record_target_stopped(self, name: str) -> None:
        key = name, self.net.targets[name].incarnation
        self.stopped_at.setdefault(key, self.net.now)

    def suspend_host(self) -> None:
        self.net.suspended_hosts.add(self.rng.choice(list(self.net.hosts)))

    def resume_hosts(self) -> None:
        self.net.suspended_hosts.clear()

    def restart_host(self) -> None:
        host = self.rng.choice(list(self.net.hosts))
        self.net.kill(host)
        self.versions[host] = 0
        self.net.start(host)

    def submit_document(self) -> None:
        """Put a newer version of the document in force on a random host."""
        self.last_version += 1
        host = self.rng.choice(list(self.net.hosts))
        page = make_page(self.last_version, self.last_version)
        self.net.hosts[host].apply_documents(page, self.net.clock(host))

    def check_invariants(self) -> None:
        for host, directory in self.net.hosts.items():
            self.check_targets(host)
            for document in directory.list_documents():
                assert document.version >= self.versions[host]
                self.versions[host] = document.version

    def check_targets(self, host: str) -> None:
        for view in self.net.hosts[host].list_usable(POOL, self.net.clock(host)):
            key = view.announcement.target, view.announcement.incarnation
            elapsed_s = self.net.now - self.stopped_at.get(key, self.net.now)
            assert elapsed_s <= MAX_USABLE_AFTER_STOP_S, (
                f"{key} is usable on {host} {elapsed_s:.2f} s after it stopped"
            )


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_faults_and_hosts_converge(seed: int) -> None:
    run = RandomRun(seed)
    for _ in range(60):
        run.apply_random_event()
        run.check_invariants()
    run.net.loss = run.net.duplication = 0.0
    run.restore_links()
    run.resume_hosts()
    run.submit_document()
    run.net.run(6)
    run.check_invariants()
    serving = {
        name
        for name, each in run.net.targets.items()
        if (name, each.incarnation) not in run.stopped_at
    }
    for host, directory in run.net.hosts.items():
        assert run.net.usable_targets(host) == serving
        assert directory.revision == run.last_version
