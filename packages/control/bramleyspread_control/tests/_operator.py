"""Operators that send deployment documents to a cluster of control hosts."""

from __future__ import annotations

from typing import Any

import msgspec

from bramleyspread_control import (
    ControlConfig,
    ControlMember,
)
from bramleyspread_control.tests._cluster import SuspendingCluster
from bramleyspread_core import (
    CommandResult,
    Deployment,
    DeploymentAccepted,
    NotLeader,
    PutDeployment,
    Undecided,
)

#: Time after which an operator asks another host, in seconds.
PATIENCE_S = 1.0
#: Delay before an operator asks another host: at first, and at most, in seconds.
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.8
#: Number of times that a host passes a change on to the leader that it knows.
MAX_RELAYS = 2


def make_put(version: int) -> PutDeployment:
    """Make a change of the deployment document."""
    return PutDeployment(Deployment(version=version), f"text {version}")


class Sending:
    """A change that is sent again until it is acknowledged, each time elsewhere."""

    def __init__(self, put: PutDeployment, first: str, now: float) -> None:
        self.put = put
        self.sent_at = now
        #: Time of the acknowledgement; None before.
        self.acknowledged_at: float | None = None
        #: Answers other than an acknowledgement that end a call.
        self.refusals: list[CommandResult] = []
        self._next_host: str | None = first
        self._ticket = 0
        self._relays = 0
        self._asked_until = 0.0
        self._due_at = now
        self._backoff_s = MIN_BACKOFF_S

    @property
    def version(self) -> int:
        """The version that is sent."""
        return self.put.deployment.version

    def advance(self, cluster: DiskCluster) -> None:
        """Send the change if that is due, and read the answer if there is one."""
        if self._ticket:
            self._read_answer(cluster)
        elif cluster.now >= self._due_at:
            host = self._next_host or cluster.choose_host()
            self._next_host, self._relays = None, 0
            self._asked_until = cluster.now + PATIENCE_S
            if host in cluster.nodes:
                self._ticket = cluster.propose(host, self.put)
            else:
                self._retry(cluster.now)

    def _read_answer(self, cluster: DiskCluster) -> None:
        result = cluster.replies.get(self._ticket)
        if isinstance(result, DeploymentAccepted):
            self.acknowledged_at = cluster.now
        elif isinstance(result, NotLeader) and result.leader is not None:
            leader = cluster.find_host(result.leader)
            if self._relays < MAX_RELAYS and leader in cluster.nodes:
                self._relays += 1
                self._ticket = cluster.propose(leader, self.put)
            else:
                self._retry(cluster.now)
        elif isinstance(result, NotLeader | Undecided):
            self._retry(cluster.now)
        elif result is not None:
            self.refusals.append(result)
            self._retry(cluster.now)
        elif cluster.now >= self._asked_until:
            self._retry(cluster.now)

    def _retry(self, now: float) -> None:
        self._ticket = 0
        self._due_at = now + self._backoff_s
        self._backoff_s = min(2 * self._backoff_s, MAX_BACKOFF_S)


class DiskCluster(SuspendingCluster):
    """Hosts that are suspended while their disks fail, and operators' changes."""

    def __init__(
        self, size: int, *, spares: int = 0, trust_folder: bool = False, **options: Any
    ) -> None:
        self._founder_count = size
        self._options = {"trust_folder": trust_folder, "admits_unlisted_hosts": True}
        #: Hosts that the settings of a host name; the founders if it isn't here.
        self.named: dict[str, tuple[ControlMember, ...]] = {}
        #: Changes that are under way, and all of them.
        self.under_way: list[Sending] = []
        self.sendings: list[Sending] = []
        #: Hosts among which operators choose.
        self.chosen: list[str] = []
        super().__init__(size + spares, **options)
        for name in sorted(self.disks)[size:]:
            del self.nodes[name], self.disks[name]

    def config(self, name: str, **changes: bool) -> ControlConfig:
        own = next(each for each in self.members if each.host == name)
        founders = self.members[: self._founder_count]
        named = self.named.get(name, founders)
        return msgspec.structs.replace(
            super().config(name, **{**self._options, **changes}),
            members=tuple(dict.fromkeys((*named, own))),
            may_found_deployment=own in founders,
        )

    def step(self) -> None:
        super().step()
        for each in self.under_way:
            each.advance(self)
        self.under_way = [x for x in self.under_way if x.acknowledged_at is None]

    def send(self, version: int, first: str) -> Sending:
        """Begin to send a change."""
        sending = Sending(make_put(version), first, self.now)
        self.sendings.append(sending)
        self.under_way.append(sending)
        return sending

    def choose_host(self) -> str:
        """Choose the host that an operator asks next."""
        return self.rng.choice(self.chosen or sorted(self.disks))

    def find_host(self, address: Any) -> str:
        """Find the name of the host at an address."""
        return next(str(x.host) for x in self.members if x.address == address)

    def find_leader(self, group: str = "0") -> str | None:
        leaders = [
            (node.report_status(self.now).terms[group], name)
            for name, node in self.nodes.items()
            if node.report_status(self.now).roles[group] == "leader"
        ]
        return max(leaders)[1] if leaders else None
