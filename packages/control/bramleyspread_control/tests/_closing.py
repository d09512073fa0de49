"""Hosts that are exchanged, and the worst that is tolerated, at the end of a day."""

from __future__ import annotations

from collections.abc import Callable

from bramleyspread_control import ControlMember, MemoryDisk
from bramleyspread_control.tests.test_disks_in_turn import Schedule
from bramleyspread_core import ConfirmDeployment, Deployment, DeploymentRead

#: Time from the restart of all hosts until the newest document is read, in seconds.
READ_WITHIN_S = 4.0
#: Time for which all hosts are without power, in seconds.
DARK_S = 1.2
#: Time in which a new host has joined and an absent one is replaced, in seconds.
JOINED_S = 8.0


class ClosingSchedule(Schedule):
    """A cluster that grows, whose hosts are exchanged, and that loses disks and power.

    Its settings name three founders at most; the other hosts join at its start.

    :param seed: what is drawn.
    :param size: number of hosts.
    :param tolerance: number of disks that may be lost at once.
    """

    def __init__(self, seed: int, size: int, tolerance: int) -> None:
        founders = min(size, 3)
        super().__init__(seed, founders, trust_folder=True, spares=10 - founders)
        self._member_change = None
        self._tolerance = tolerance
        self._spares_left = 10 - size
        # Whether a host's settings trust its folder; they do if it isn't here.
        self._trust: dict[str, bool] = {}
        self.cluster.run_until_leader()
        for name in sorted(self.cluster.nodes)[: size - founders]:
            self._add_spare(name)
        self.run(JOINED_S)
        self.size = size

    @property
    def hosts(self) -> list[str]:
        """The hosts that are not gone, whether they run or not."""
        return sorted(set(self.cluster.disks) - self.gone)

    def _choose_named(self, live: list[ControlMember]) -> tuple[ControlMember, ...]:
        """Choose the hosts that a new host's settings name, often no leader."""
        leader = self.cluster.find_leader()
        others = [each for each in live if each.host != leader]
        names_leader = self.rng.random() < 0.3
        return super()._choose_named(live if names_leader else others)

    def exchange(self) -> None:
        """Exchange hosts, planned or not, and perhaps lose a disk afterwards."""
        rng = self.rng
        for _ in range(rng.choice((0, 1, 1, 2, 2, 3))):
            self.exchange_one(rng.choice(self.hosts), is_planned=rng.random() < 0.5)
            self.run(rng.uniform(4.0, JOINED_S))
        if rng.random() < 0.5:
            self._wipe(rng.choice(self.hosts))
            self.run(rng.uniform(4.5, 7.0))

    def exchange_one(self, name: str, is_planned: bool) -> None:
        """Let a new host stand in for one that stops for good."""
        if self._spares_left == 0:
            return
        self._spares_left -= 1
        if is_planned:
            self._add_spare(name)
            self.run(self.rng.uniform(1.0, 3.0))
            self._stop(name)
            return
        self._stop(name)
        self.run(1.0)
        self._add_spare(name)

    def exchange_two_at_once(self) -> None:
        """Exchange two hosts within the time after which a silent one is replaced."""
        rng = self.rng
        for name in rng.sample(self.hosts, 2):
            self._spares_left -= 1
            if rng.random() < 0.5:
                self._add_spare(name)
                self.plan(rng.uniform(0.0, 2.5), lambda name=name: self._stop(name))  # type: ignore[misc]
            else:
                self._stop(name)
                self.plan(
                    rng.uniform(0.2, 1.5),
                    lambda name=name: self._add_spare(name),  # type: ignore[misc]
                )
            self.run(rng.uniform(0.0, 2.4))
        self.run(JOINED_S)

    def exchange_beside_a_cut(self) -> None:
        """Exchange a host while a minority is cut off from all others."""
        rng, cluster = self.rng, self.cluster
        for name in rng.sample(self.hosts, (len(self.hosts) - 1) // 2):
            self.note(f"cut {name}")
            cluster.isolate(name)
            for each in cluster.members[len(cluster.disks) :]:
                cluster.blocked |= {(each.host, name), (name, each.host)}
        self.run(rng.uniform(0.5, 6.0))
        self.exchange_one(rng.choice(self.hosts), is_planned=rng.random() < 0.5)
        self.run(rng.uniform(0.0, 5.0))
        cluster.heal()
        self.note("heal")
        self.run(JOINED_S)

    def trust_some_folders(self) -> None:
        """Let the settings of some hosts trust their folders from the next start on."""
        for name in self.hosts:
            self._trust[name] = self.rng.random() < 0.5

    def acknowledge(self) -> None:
        """Have a change acknowledged, the newest one."""
        cluster = self.cluster
        self._next_change_at = float("inf")
        self._wait(lambda: not cluster.under_way, 6.0)
        self.version += 1
        first = cluster.find_leader() or self.hosts[0]
        sending = cluster.send(self.version, first)
        self._wait(lambda: sending.acknowledged_at is not None, 6.0)
        assert sending.acknowledged_at is not None, (self.describe(), self.log)

    def lose_disks_and_power(self, is_power_lost: bool = True) -> list[str]:
        """Lose as many disks as may be lost, and power of all other hosts.

        :param is_power_lost: whether the other hosts lose their power at the same time.
        :returns: the hosts that have lost their disks.
        """
        rng, cluster = self.rng, self.cluster
        lost = rng.sample(self.hosts, self._tolerance)
        leader = cluster.find_leader()
        if leader is not None and leader not in lost and rng.random() < 0.6:
            lost[0] = leader
        self.note(f"lost {lost}, led by {leader}, power lost {is_power_lost}")
        for name in self.hosts:
            if is_power_lost or name in lost:
                cluster.kill(name, power_cut=True)
        for name in lost:
            cluster.nodes.pop(name, None)
            cluster.disks[name] = MemoryDisk()
        self.run(DARK_S)
        for name in self.hosts:
            if name not in cluster.nodes:
                self.plan(rng.uniform(0.0, 0.5), lambda name=name: self._restart(name))  # type: ignore[misc]
        return lost

    def _restart(self, name: str) -> None:
        if name not in self.cluster.nodes and name not in self.gone:
            self.note(f"start {name}")
            self.cluster.start(name, trust_folder=self._trust.get(name, True))

    def check_read(self) -> float:
        """Check that the newest document is read at all hosts in time.

        :returns: the time that it took, in seconds.
        """
        cluster = self.cluster
        began_at = cluster.now
        expected = Deployment(version=self.version)

        def is_read() -> bool:
            nodes = cluster.nodes.values()
            return (
                sorted(cluster.nodes) == self.hosts
                and all(cluster.find_leader(group) for group in "01")
                and all(node.deployment == expected for node in nodes)
                and any(node.is_deployment_confirmed(cluster.now) for node in nodes)
            )

        self._wait(is_read, READ_WITHIN_S)
        assert is_read(), (self.describe(), self.log)
        read = DeploymentRead(self.version, f"text {self.version}")
        assert cluster.call(ConfirmDeployment()) == read
        took_s = cluster.now - began_at
        assert took_s <= READ_WITHIN_S, (took_s, self.log)
        return took_s

    def describe(self) -> dict[str, object]:
        """Describe all hosts, for the message of a failed check."""
        now = self.cluster.now
        return {
            name: (status.roles, status.terms, status.voters["0"], node.deployment)
            for name, node in sorted(self.cluster.nodes.items())
            for status in [node.report_status(now)]
        }

    def _wait(self, is_done: Callable[[], bool], seconds: float) -> None:
        until = self.cluster.now + seconds
        while not is_done() and self.cluster.now < until:
            self.run(0.05)
