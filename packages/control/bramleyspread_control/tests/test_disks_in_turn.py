"""Control hosts whose disks are full one after another, never two at once."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec
import pytest

from bramleyspread_control import ControlMember, ControlTimings, MemoryDisk
from bramleyspread_control.tests._operator import DiskCluster, Sending
from bramleyspread_core import ConfirmDeployment, Deployment, DeploymentRead

#: Time after the last disruption until hosts count as in contact, in seconds.
CONTACT_S = 3.0
#: Time in which a change is acknowledged, in seconds.
ACKNOWLEDGED_S = 4.0
#: Kinds of operations that a full disk refuses: as file systems do, and all of them.
FULL_DISKS = (
    frozenset({"append", "write"}),
    frozenset({"append", "write", "sync"}),
    frozenset({"append", "write", "sync", "rename", "truncate", "remove"}),
)
#: Space that is left when a disk fills up, in bytes: none, and so much that a record or
#: a checkpoint is written in part.
LEFT_BYTES = (None, 0, 7, 150, 900)
#: Numbers of journal records at which a checkpoint is due.
CHECKPOINT_RECORDS = (4, 12, 1_000)


def make_timings(checkpoint_records: int) -> ControlTimings:
    """Timings as the forwarding roles set them."""
    return ControlTimings(
        election_timeout_min_s=0.6,
        election_timeout_max_s=1.1,
        heartbeat_interval_s=0.12,
        retransmit_timeout_s=0.18,
        voter_replacement_timeout_s=2.5,
        checkpoint_min_records=checkpoint_records,
        retained_log_entries=5,
    )


class Schedule:
    """A cluster, the disruptions that one seed draws, and changes all along."""

    def __init__(
        self, seed: int, size: int, trust_folder: bool, spares: int = 1
    ) -> None:
        self.rng = random.Random(seed)
        timings = make_timings(self.rng.choice(CHECKPOINT_RECORDS))
        self.cluster = DiskCluster(
            size, spares=spares, trust_folder=trust_folder, seed=seed, timings=timings
        )
        #: What happened, for the message of a failed check.
        self.log: list[str] = []
        self.version = 0
        self._next_change_at = 0.0
        self._next_spare = size
        #: Hosts that are gone for good.
        self.gone: set[str] = set()
        self._actions: list[tuple[float, Callable[[], None]]] = []
        # The disruption of the members that this schedule may contain, once.
        self._member_change = self.rng.choice((None, self._wipe, self._replace))
        # A folder that a restart finds changed isn't trusted while a voter is away for
        # good: an operator has to decide then.
        self._allows_kills = trust_folder or self._member_change != self._replace

    def note(self, what: str) -> None:
        self.log.append(f"{self.cluster.now:.2f} {what}")

    def run(self, seconds: float) -> None:
        """Let time pass, with changes and planned disruptions."""
        cluster = self.cluster
        until = cluster.now + seconds
        while cluster.now < until:
            due = [each for each in self._actions if each[0] <= cluster.now]
            self._actions = [each for each in self._actions if each not in due]
            for _, act in due:
                act()
            if cluster.now >= self._next_change_at and len(cluster.under_way) < 8:
                self._next_change_at = cluster.now + self.rng.uniform(0.1, 0.8)
                self.send()
            cluster.step()
            self.check_confirmed()

    def plan(self, delay_s: float, act: Callable[[], None]) -> None:
        self._actions.append((self.cluster.now + delay_s, act))

    def send(self) -> Sending:
        """Send a new change, or one that was accepted before, to some host."""
        cluster = self.cluster
        accepted = [x.version for x in cluster.sendings if x.acknowledged_at]
        if accepted and self.rng.random() < 0.2:
            return cluster.send(self.rng.choice(accepted), cluster.choose_host())
        self.version += 1
        return cluster.send(self.version, cluster.choose_host())

    def check_confirmed(self) -> None:
        """Check that no host confirms an older document than was acknowledged."""
        cluster = self.cluster
        newest = max(
            (x.version for x in cluster.sendings if x.acknowledged_at is not None),
            default=0,
        )
        for name, node in cluster.nodes.items():
            if node.is_deployment_confirmed(cluster.now):
                known = node.deployment.version if node.deployment is not None else 0
                assert known >= newest, (name, known, newest, self.log)

    def fill_in_turn(self) -> None:
        """Fill each host's disk for some seconds, the leader's once more."""
        cluster, rng = self.cluster, self.rng
        hosts: list[str | None] = [*sorted(cluster.nodes), None]
        rng.shuffle(hosts)
        for host in hosts:
            name = host or cluster.find_leader() or rng.choice(sorted(cluster.nodes))
            if name in self.gone:
                continue
            self.fill(name)
            self.disrupt(name)
            self.run(rng.uniform(1.0, 5.0))
            self.make_space(name)
            self.run(rng.choice((0.0, 0.0, rng.uniform(0.0, 3.0))))

    def fill(self, name: str) -> None:
        disk: MemoryDisk = self.cluster.disks[name]
        left_bytes = self.rng.choice(LEFT_BYTES)
        if left_bytes is None:
            disk.failing = self.rng.choice(FULL_DISKS)
        disk.free_bytes = left_bytes
        leads = name == self.cluster.find_leader()
        self.note(f"full {name} leads={leads} {left_bytes} {sorted(disk.failing)}")

    def make_space(self, name: str) -> None:
        disk: MemoryDisk = self.cluster.disks[name]
        disk.failing, disk.free_bytes = frozenset(), None
        self.note(f"space {name}")

    def disrupt(self, full: str) -> None:
        """Plan another disruption while a disk is full, or none."""
        rng, cluster = self.rng, self.cluster
        kinds = [None, self._cut, self._member_change]
        if self._allows_kills:
            kinds += [self._kill, self._cut_power]
        disrupt = rng.choice(kinds)
        if disrupt is None:
            return
        if disrupt == self._member_change:
            self._member_change = None
        leader = cluster.find_leader()
        name = rng.choice([*sorted(cluster.nodes), *([leader] if leader else [])])
        if name in self.gone or (disrupt == self._wipe and name == full):
            return
        self.plan(rng.uniform(0.0, 2.0), lambda: disrupt(name))

    def _cut(self, name: str) -> None:
        self.note(f"cut {name}")
        inward, outward = self.rng.choice(((True, True), (True, False), (False, True)))
        self.cluster.isolate(name, inward, outward)
        self.plan(self.rng.uniform(0.5, 2.0), self.cluster.heal)

    def _kill(self, name: str, power_cut: bool = False) -> None:
        if name not in self.cluster.nodes:
            return
        self.note(f"kill {name} {power_cut}")
        self.cluster.kill(name, power_cut)
        self.plan(self.rng.uniform(0.3, 1.5), lambda: self._restart(name))

    def _cut_power(self, name: str) -> None:
        self._kill(name, power_cut=True)

    def _restart(self, name: str) -> None:
        if name not in self.cluster.nodes and name not in self.gone:
            self.note(f"start {name}")
            self.cluster.start(name)

    def _wipe(self, name: str) -> None:
        self.note(f"wipe {name}")
        self.cluster.lose_disk(name)
        self.plan(self.rng.uniform(0.3, 1.5), lambda: self._restart(name))

    def _replace(self, name: str) -> None:
        """Stop a host for good, a while after or before another stands in for it."""
        self._add_spare(name)
        self.plan(self.rng.uniform(0.0, 4.0), lambda: self._stop(name))

    def _add_spare(self, name: str) -> None:
        """Start a new host in a host's zone; its settings name some live hosts."""
        cluster = self.cluster
        spare = cluster.members[self._next_spare]
        self.note(f"add {spare.host} for {name}")
        zone = next(each.zone for each in cluster.members if each.host == name)
        added = msgspec.structs.replace(spare, zone=zone)
        cluster.members = tuple(
            added if each is spare else each for each in cluster.members
        )
        live = [each for each in cluster.members if each.host in cluster.nodes]
        cluster.named[added.host] = self._choose_named(live)
        cluster.disks[spare.host] = MemoryDisk()
        cluster.start(spare.host)
        self._next_spare += 1

    def _choose_named(self, live: list[ControlMember]) -> tuple[ControlMember, ...]:
        """Choose the hosts that a new host's settings name."""
        return tuple(self.rng.sample(live, min(3, len(live))))

    def replace_all(self) -> None:
        """Replace the hosts one after another, while one disk after another is full."""
        rng, cluster = self.rng, self.cluster
        former = sorted(cluster.nodes)
        rng.shuffle(former)
        self._member_change = None
        for name in former:
            self._add_spare(name)
            full = rng.choice(sorted(cluster.nodes))
            self.fill(full)
            if rng.random() < 0.5:
                self.disrupt(full)
            self.run(rng.uniform(1.0, 5.0))
            if rng.random() < 0.5:
                self._stop(name)
            self.run(rng.uniform(0.0, 2.0))
            self.make_space(full)
            if name not in self.gone:
                self.run(rng.uniform(0.0, 3.0))
                self._stop(name)
            self.run(rng.uniform(4.0, 7.0))

    def _stop(self, name: str) -> None:
        self.note(f"stop {name}")
        self.gone.add(name)
        self.cluster.nodes.pop(name, None)

    def check_acknowledged(self) -> None:
        """Check that changes through each host are acknowledged in time, and kept."""
        cluster = self.cluster
        self._next_change_at = float("inf")
        self.run(CONTACT_S)
        live = sorted(cluster.nodes)
        cluster.chosen = live
        for name in live * 2:
            cluster.chosen = [name]
            self.version += 1
            sending = cluster.send(self.version, name)
            cluster.run(ACKNOWLEDGED_S)
            roles = {x: cluster.nodes[x].report_status(cluster.now) for x in live}
            assert sending.acknowledged_at is not None, (name, roles, self.log)
        self.check_confirmed()
        assert not cluster.under_way, (cluster.under_way[0].version, self.log)
        accepted = {each.version for each in cluster.sendings}
        for version in sorted(accepted):
            cluster.chosen = [self.rng.choice(live)]
            cluster.send(version, cluster.choose_host())
        cluster.run(ACKNOWLEDGED_S)
        assert not cluster.under_way
        assert [x.refusals for x in cluster.sendings if x.refusals] == []
        read = DeploymentRead(self.version, f"text {self.version}")
        for name in live:
            assert cluster.nodes[name].deployment == Deployment(version=self.version)
        assert cluster.call(ConfirmDeployment()) == read


# Changes were unanswered for good after the disks of all hosts had been full in turn.
@pytest.mark.parametrize("trust_folder", [False, True])
@pytest.mark.parametrize("size", [3, 4, 5])
@pytest.mark.parametrize("seed", [3, 9, 11, 14])
def test_changes_are_acknowledged_after_disks_were_full_in_turn(
    seed: int, size: int, trust_folder: bool
) -> None:
    schedule = Schedule(seed, size, trust_folder)
    schedule.cluster.run_until_leader()
    schedule.run(2.0)
    schedule.fill_in_turn()
    schedule.check_acknowledged()


# Changes were unanswered for good after hosts had been replaced while disks were full.
@pytest.mark.parametrize("size", [3, 4, 5])
@pytest.mark.parametrize("seed", [1, 4, 5])
def test_changes_are_acknowledged_after_hosts_were_replaced_meanwhile(
    seed: int, size: int
) -> None:
    schedule = Schedule(seed, size, trust_folder=True, spares=size)
    schedule.cluster.run_until_leader()
    schedule.run(1.0)
    schedule.replace_all()
    schedule.fill_in_turn()
    schedule.check_acknowledged()
