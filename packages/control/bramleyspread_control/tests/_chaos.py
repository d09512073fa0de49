"""Random runs with faults, driven by one seed, that check the system's invariants."""

from __future__ import annotations

import random
from collections.abc import Callable

from bramleyspread_control import ControlTimings, MemoryDisk
from bramleyspread_control.tests._cluster import Cluster, claim, settle, submit
from bramleyspread_core import Accepted, Claimed, Command

SERVICES = ("photos", "ledger", "portal")
TIMINGS = ControlTimings(
    checkpoint_min_records=40, retained_log_entries=10, order_delay_s=0.5
)


class Chaos:
    """A cluster under random faults, and what its hosts have replied so far."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.cluster = Cluster(size, seed, timings=TIMINGS)
        #: Leader by group and term.
        self.leaders: dict[tuple[int, int], str] = {}
        #: Term and change of each committed entry, by group and index.
        self.committed: dict[tuple[int, int], tuple[int, bytes]] = {}
        #: Index of the last checked log entry, by host name, group and process.
        self.checked_up_to: dict[tuple[str, int, int], int] = {}
        #: By ticket: the change id or claim key of a command, and its kind or, for a
        #: claim, the claiming request.
        self.tickets: dict[int, tuple[str, str]] = {}
        #: Result by change id.
        self.accepted: dict[str, Accepted] = {}
        #: Requests that were granted a claim, by key; more than one is a fault.
        self.claimed: dict[str, set[str]] = {}
        #: Fencing numbers with which a host was allowed to give orders, in order.
        self.fences: list[int] = [0]
        #: Copies of data folders that may be restored later, by host name.
        self.folder_copies: dict[str, MemoryDisk] = {}
        #: The last host whose data folder was lost or replaced, if any; no other folder
        #: is damaged before :meth:`is_repaired` returns True for it.
        self.recovering_host: str | None = None
        self.command_count = 0

    def run(self, seconds: float) -> None:
        cluster = self.cluster
        cluster.run_until_leader()
        until = cluster.now + seconds
        while cluster.now < until:
            self.run_random_action()
            for _ in range(self.rng.randint(1, 60)):
                self.step()
        self.check_final_state()

    def step(self) -> None:
        self.cluster.step()
        self.check()

    def run_random_action(self) -> None:
        actions: list[tuple[int, Callable[[], None]]] = [
            (30, self.submit_document),
            (20, self.claim_random_key),
            (10, self.settle_random_key),
            (4, self.isolate_random_host),
            (5, self.cluster.heal),
            (4, self.kill_random_host),
            (8, self.start_stopped_hosts),
            (3, self.suspend_random_host),
            (5, self.cluster.suspended_hosts.clear),
            (2, self.damage_random_folder),
            (2, self.copy_random_folder),
            (2, self.set_random_loss),
            (1, self.start_leadership_transfer),
        ]
        weights = [weight for weight, _ in actions]
        self.rng.choices([action for _, action in actions], weights)[0]()

    def submit_document(self) -> None:
        self.command_count += 1
        service = self.rng.choice(SERVICES)
        version = 1
        for node in self.cluster.nodes.values():
            for each in node.list_documents():
                if each.service == service:
                    version = max(version, each.version + 1)
        version = max(1, version - self.rng.randint(0, 1))
        author = f"author-{self.command_count}"
        change = f"{service}:{version}:{author}"
        self.send_command(change, "submit", submit(change, service, version, author))

    def claim_random_key(self) -> None:
        self.command_count += 1
        name = f"key-{self.rng.randint(0, 15)}"
        self.send_command(
            name,
            f"r-{self.command_count}",
            claim(f"r-{self.command_count}", name, remaining_ms=800),
        )

    def settle_random_key(self) -> None:
        name = f"key-{self.rng.randint(0, 15)}"
        for request in self.claimed.get(name, set()):
            self.send_command(name, "settle", settle(request, "done", name))

    def send_command(
        self, change_or_key: str, kind_or_request: str, command: Command
    ) -> None:
        nodes = [
            each
            for each in self.cluster.nodes
            if each not in self.cluster.suspended_hosts
        ]
        for node in self.rng.sample(nodes, min(len(nodes), 2)):
            ticket = self.cluster.propose(node, command)
            self.tickets[ticket] = (change_or_key, kind_or_request)
            self.cluster.flush(node)
            self.check_replies()

    def isolate_random_host(self) -> None:
        both, inward = self.rng.random() < 0.4, self.rng.random() < 0.5
        name = self.rng.choice(sorted(self.cluster.disks))
        self.cluster.isolate(name, both or inward, both or not inward)

    def kill_random_host(self) -> None:
        if self.cluster.nodes:
            name = self.rng.choice(sorted(self.cluster.nodes))
            self.cluster.kill(name, power_cut=self.rng.random() < 0.5)

    def start_stopped_hosts(self) -> None:
        for name in sorted(self.cluster.disks):
            if name not in self.cluster.nodes and self.rng.random() < 0.7:
                self.cluster.start(name)

    def suspend_random_host(self) -> None:
        self.cluster.suspended_hosts.add(self.rng.choice(sorted(self.cluster.disks)))

    def set_random_loss(self) -> None:
        self.cluster.loss = self.rng.choice((0.0, 0.0, 0.05, 0.3))

    def start_leadership_transfer(self) -> None:
        leader = self.cluster.find_leader()
        if leader is not None:
            self.cluster.nodes[leader].transfer_leadership(self.cluster.now)

    def copy_random_folder(self) -> None:
        name = self.rng.choice(sorted(self.cluster.disks))
        self.folder_copies[name] = self.cluster.disks[name].copy()

    def damage_random_folder(self) -> None:
        """Lose a data folder, or restore an older copy of it; one host at a time."""
        if self.recovering_host is not None and not self.is_repaired(
            self.recovering_host
        ):
            return
        name = self.rng.choice(sorted(self.cluster.disks))
        self.recovering_host = name
        older_copy = self.folder_copies.pop(name, None)
        previous_disk = self.cluster.disks[name]
        self.cluster.lose_disk(name)
        if older_copy is not None:
            self.cluster.disks[name] = previous_disk.restore(older_copy)
        if self.rng.random() < 0.8:
            self.cluster.start(name)

    def is_repaired(self, name: str) -> bool:
        node = self.cluster.nodes.get(name)
        if node is None:
            return False
        for replica in node._store.replicas.values():
            consensus = replica.consensus
            members = consensus.log.find_members_at(consensus.log.commit_index)
            if not consensus.log_complete or not members.has_voter(
                name, consensus.incarnation
            ):
                return False
        self.folder_copies.pop(name, None)
        return True

    def check_replies(self) -> None:
        for ticket, result in self.cluster.replies.items():
            change_or_key, kind_or_request = self.tickets.pop(ticket, ("", ""))
            if isinstance(result, Accepted) and kind_or_request == "submit":
                expected = self.accepted.setdefault(change_or_key, result)
                assert (expected.version, expected.revision) == (
                    result.version,
                    result.revision,
                ), (
                    f"change {change_or_key} was accepted as {expected}, then as "
                    f"{result}"
                )
            elif isinstance(result, Claimed):
                holders = self.claimed.setdefault(change_or_key, set())
                holders.add(kind_or_request)
                assert len(holders) == 1, (
                    f"key {change_or_key} was granted to several requests: {holders}"
                )
        self.cluster.replies.clear()

    def check(self) -> None:
        self.check_replies()
        leases: set[int] = set()
        fences = []
        for name, node in self.cluster.nodes.items():
            for group, replica in node._store.replicas.items():
                if replica.leader_state is not None:
                    term = (group, replica.consensus.term)
                    assert self.leaders.setdefault(term, name) == name, (
                        f"two leaders in {term}"
                    )
                self.check_log(name, group)
                if name not in self.cluster.suspended_hosts and replica.has_lease(
                    self.cluster.now
                ):
                    assert group not in leases, (
                        f"two leaders hold a lease in group {group}"
                    )
                    leases.add(group)
            if name not in self.cluster.suspended_hosts:
                fences.append(node.get_fencing_number(self.cluster.now))
        current_fences = [fence for fence in fences if fence is not None]
        assert len(current_fences) <= 1, "two hosts may give orders"
        for fence in current_fences:
            assert fence >= self.fences[-1], "fencing number decreased"
            self.fences.append(fence)

    def check_log(self, name: str, group: int) -> None:
        node = self.cluster.nodes[name]
        log = node._store.replicas[group].log
        host_log = (name, group, id(node))
        first = max(self.checked_up_to.get(host_log, 0), log.base_index) + 1
        for index in range(first, log.commit_index + 1):
            entry = log.get(index)
            found = (entry.term, bytes(entry.change))
            expected = self.committed.setdefault((group, index), found)
            assert expected == found, (
                f"host {name}, group {group}: entry {index} differs"
            )
        self.checked_up_to[host_log] = log.commit_index

    def check_final_state(self) -> None:
        """Repair everything, then check that all accepted changes exist."""
        self.repair_all()
        self.check_accepted()

    def repair_all(self) -> None:
        """End all faults, restart every host, and wait until the cluster is stable."""
        cluster = self.cluster
        cluster.heal()
        cluster.suspended_hosts.clear()
        cluster.loss = 0.0
        for name in sorted(cluster.disks):
            if name in cluster.nodes:
                cluster.kill(name)
            cluster.start(name)
        for _ in range(1_500):
            self.step()

    def check_accepted(self) -> None:
        """Check that every accepted change exists, and that every host is a voter."""
        cluster = self.cluster
        newest: dict[str, int] = {}
        for change, accepted in self.accepted.items():
            newest[accepted.service] = max(
                newest.get(accepted.service, 0), accepted.version
            )
            service, version, author = change.split(":")
            retried = cluster.call(submit(change, service, int(version), author))
            assert retried == Accepted(
                accepted.service, accepted.version, accepted.revision, resent=True
            ), f"change {change}: {accepted} became {retried} on retry"
        for node in cluster.nodes.values():
            versions: dict[str, int] = {
                each.service: each.version for each in node.list_documents()
            }
            for service, accepted_version in newest.items():
                assert versions.get(service, 0) >= accepted_version, (
                    f"document of {service} reverted to an older version"
                )
        voters = cluster.nodes["a"].report_status(cluster.now).voters["0"]
        assert len(voters) == len(cluster.disks), f"only {voters} are voters"
