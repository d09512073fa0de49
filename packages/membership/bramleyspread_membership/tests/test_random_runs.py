"""Checks invariants of directories over random sequences of faults."""

from __future__ import annotations

from random import Random

import pytest

from bramleyspread_membership.tests.network import POOL, Network
from bramleyspread_membership.tests.test_directory import ZONES, make_page

#: A target that stopped serving must be unusable after this long, in seconds.
MAX_USABLE_AFTER_STOP_S = 3.0


class RandomRun:
    """A network with random events, and the state to check its invariants against."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.net = Network(ZONES, seed)
        #: When each target and incarnation stopped serving.
        self.stopped: dict[tuple[str, int], float] = {}
        #: The document version last seen in force on each host.
        self.versions = dict.fromkeys(self.net.hosts, 0)
        #: The document version submitted last.
        self.version = 0
        for number in range(12):
            self.net.add_target(f"t-{number}", "abc"[number % 3])

    def apply_random_event(self) -> None:
        net, rng = self.net, self.rng
        events = [self.cut, self.heal, self.leave, self.stop_unannounced, self.freeze]
        events += [self.thaw, self.restart, self.submit, self.degrade_links]
        rng.choice(events)()
        net.run(rng.uniform(0.1, 2.0))

    def cut(self) -> None:
        sender, receiver = self.rng.sample(list(self.net.zones), 2)
        self.net.cuts.add((sender, receiver))

    def heal(self) -> None:
        self.net.cuts.clear()
        self.net.extra_delay_s.clear()

    def degrade_links(self) -> None:
        self.net.loss = self.rng.choice([0.0, 0.05, 0.3])
        self.net.duplication = self.rng.choice([0.0, 0.3])
        host = self.rng.choice(list(self.net.zones))
        self.net.extra_delay_s[host] = self.rng.choice([0.0, 0.4])

    def leave(self) -> None:
        name = self.rng.choice(list(self.net.targets))
        self.record_stopped(name)
        self.net.leave(name)
        self.net.announce(name)

    def stop_unannounced(self) -> None:
        """Stop a target without an announcement, and start its next incarnation."""
        name = self.rng.choice(list(self.net.targets))
        self.record_stopped(name)
        old = self.net.targets.pop(name)
        self.net.add_target(name, old.zone)
        self.net.change(name, incarnation=old.incarnation + 1)

    def record_stopped(self, name: str) -> None:
        key = name, self.net.targets[name].incarnation
        self.stopped.setdefault(key, self.net.now)

    def freeze(self) -> None:
        self.net.frozen.add(self.rng.choice(list(self.net.hosts)))

    def thaw(self) -> None:
        self.net.frozen.clear()

    def restart(self) -> None:
        host = self.rng.choice(list(self.net.hosts))
        self.net.kill(host)
        self.versions[host] = 0
        self.net.start(host)

    def submit(self) -> None:
        self.version += 1
        host = self.rng.choice(list(self.net.hosts))
        page = make_page(self.version, self.version)
        self.net.hosts[host].apply_documents(page, self.net.clock(host))

    def check(self) -> None:
        for host, node in self.net.hosts.items():
            self.check_targets(host)
            for document in node.list_documents():
                assert document.version >= self.versions[host]
                self.versions[host] = document.version

    def check_targets(self, host: str) -> None:
        for view in self.net.hosts[host].list_usable(POOL, self.net.clock(host)):
            key = view.announcement.target, view.announcement.incarnation
            elapsed_s = self.net.now - self.stopped.get(key, self.net.now)
            assert elapsed_s <= MAX_USABLE_AFTER_STOP_S, (
                f"{key} is usable on {host} {elapsed_s:.2f} s after it stopped"
            )


@pytest.mark.parametrize("seed", range(6))
def test_invariants_hold_under_random_faults_and_hosts_converge(seed: int) -> None:
    run = RandomRun(seed)
    for _ in range(60):
        run.apply_random_event()
        run.check()
    run.net.loss = run.net.duplication = 0.0
    run.heal()
    run.thaw()
    run.submit()
    run.net.run(6)
    run.check()
    serving = {
        name
        for name, each in run.net.targets.items()
        if (name, each.incarnation) not in run.stopped
    }
    for host, node in run.net.hosts.items():
        assert run.net.usable_targets(host) == serving
        assert node.revision == run.version
