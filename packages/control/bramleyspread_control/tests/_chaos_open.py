"""Random runs in which hosts are lost for good and unlisted hosts replace them."""

from __future__ import annotations

import msgspec

from bramleyspread_control import ControlTimings
from bramleyspread_control.tests._chaos import Chaos
from bramleyspread_control.tests._cluster import Cluster
from bramleyspread_core import (
    ConfirmDeployment,
    Deployment,
    DeploymentAccepted,
    DeploymentRead,
    PutDeployment,
    ZoneName,
)

TIMINGS = ControlTimings(
    checkpoint_min_records=40, retained_log_entries=10, voter_replacement_timeout_s=2.5
)
FOUNDERS, SPARES = "abc", "defg"
#: Availability zones of the hosts; every spare shares its zone with a founder.
ZONES = dict(zip(FOUNDERS + SPARES, "xyzxyzx", strict=True))


class ReplacementChaos(Chaos):
    """Three hosts found a deployment; spare hosts replace the ones that are lost."""

    def __init__(self, seed: int) -> None:
        super().__init__(3, seed)
        self.cluster = cluster = Cluster(7, seed, timings=TIMINGS)
        for name in FOUNDERS + SPARES:
            cluster.kill(name)
            cluster.lose_disk(name)
        cluster.members = tuple(
            msgspec.structs.replace(each, zone=ZoneName(ZONES[each.host]))
            for each in cluster.members
        )
        self.spares = list(SPARES)
        self.removed_hosts: list[str] = []
        self.replacement_count = 0
        self.newest_version = 0
        self.acknowledged_version = 0
        #: Version that was acknowledged before each pending read, by ticket.
        self.pending_reads: dict[int, int] = {}
        all_members = cluster.members
        cluster.members = all_members[:3]
        cluster.start_options = {
            "may_found_deployment": True,
            "admits_unlisted_hosts": True,
        }
        for name in FOUNDERS:
            cluster.start(name)
        cluster.members = all_members
        # After a restart a folder is complete or empty here, as on the users' machines.
        cluster.start_options = {
            "may_found_deployment": False,
            "admits_unlisted_hosts": True,
            "trust_folder": True,
        }
        for name in SPARES:
            del cluster.disks[name]

    def run_random_action(self) -> None:
        self.rng.choices(
            [
                self.put_deployment,
                self.read_deployment,
                self.replace_random_host,
                super().run_random_action,
            ],
            [20, 10, 2, 60],
        )[0]()

    def put_deployment(self) -> None:
        self.newest_version += self.rng.randint(1, 4)
        text = f"text {self.newest_version}"
        self.send_command(
            "-", "put", PutDeployment(Deployment(version=self.newest_version), text)
        )

    def read_deployment(self) -> None:
        nodes = sorted(set(self.cluster.nodes) - self.cluster.suspended_hosts)
        if nodes:
            ticket = self.cluster.propose(self.rng.choice(nodes), ConfirmDeployment())
            self.pending_reads[ticket] = self.acknowledged_version

    def copy_random_folder(self) -> None:
        """Do nothing: data folders are never restored from an older copy here."""

    def replace_random_host(self) -> None:
        """Remove a host for good, and start a spare of its zone with an empty disk."""
        if self.recovering_host is not None and not self.is_repaired(
            self.recovering_host
        ):
            return
        remaining_hosts = sorted(self.cluster.disks)
        pairs = [
            (host, spare)
            for host in remaining_hosts
            for spare in self.spares
            if ZONES[host] == ZONES[spare]
        ]
        if not pairs or set(remaining_hosts) != set(self.cluster.nodes):
            return
        removed, spare = self.rng.choice(pairs)
        self.cluster.kill(removed)
        del self.cluster.disks[removed]
        self.removed_hosts.append(removed)
        self.spares.remove(spare)
        self.cluster.lose_disk(spare)
        self.cluster.start(spare)
        self.recovering_host = spare
        self.replacement_count += 1

    def is_repaired(self, name: str) -> bool:
        voters = self._list_voters(name)
        return super().is_repaired(name) and not voters & set(self.removed_hosts)

    def _list_voters(self, name: str) -> set[str]:
        node = self.cluster.nodes.get(name)
        if node is None:
            return set(self.removed_hosts)
        return set(node.report_status(self.cluster.now).voters["0"])

    def check_replies(self) -> None:
        for ticket, result in self.cluster.replies.items():
            if isinstance(result, DeploymentAccepted):
                self.acknowledged_version = max(
                    self.acknowledged_version, result.version
                )
            version_before_read = self.pending_reads.pop(ticket, 0)
            if isinstance(result, DeploymentRead):
                assert result.version >= version_before_read, (
                    "read returned an older version than acknowledged"
                )
        super().check_replies()

    def check_final_state(self) -> None:
        """Repair everything, then check for the newest acknowledged document."""
        self.repair_all()
        cluster = self.cluster
        read = cluster.call(ConfirmDeployment())
        assert isinstance(read, DeploymentRead), (
            f"no leader confirmed the deployment: {read}"
        )
        assert read.version >= self.acknowledged_version, (
            "acknowledged version was lost"
        )
        remaining_hosts = sorted(cluster.disks)
        assert self._list_voters(remaining_hosts[0]) == set(remaining_hosts), (
            "voters differ from remaining hosts"
        )
