"""Configuration of a control host."""

from __future__ import annotations

import math

import msgspec

from bramleyspread_core import Address, HostName, ZoneName

#: Maximum difference in rate between two hosts' clocks, as a fraction.
MAX_CLOCK_DRIFT = 0.1


class ControlMember(msgspec.Struct, frozen=True):
    """A control host that the settings name."""

    #: Name of the host.
    host: HostName
    #: Availability zone of the host.
    zone: ZoneName
    #: Address at which the host receives messages from other control hosts.
    address: Address


class ControlTimings(msgspec.Struct, frozen=True):
    """Timeouts and limits of a control host; they must be the same on all of them."""

    #: Minimum election timeout, in seconds: followers neither start an election nor
    #: vote in one for at least this long after the last message from a leader.
    election_timeout_min_s: float = 1.0
    #: Maximum election timeout, in seconds.
    election_timeout_max_s: float = 2.0
    #: Interval between two heartbeats of a leader, in seconds.
    heartbeat_interval_s: float = 0.2
    #: Time after which an unanswered message is sent again, in seconds.
    retransmit_timeout_s: float = 0.3
    #: Time that a new leader waits before it gives orders, in seconds.
    order_delay_s: float = 2.0
    #: Maximum duration of a leadership transfer, in seconds.
    leadership_transfer_s: float = 1.0
    #: Silence after which a voter is removed if a voter that joined later in the same
    #: availability zone replaces it, in seconds; infinite where hosts are never
    #: replaced.
    voter_replacement_timeout_s: float = math.inf
    #: Minimum number of journal records before a checkpoint is written.
    checkpoint_min_records: int = 1_000
    #: Size of the journal at which a checkpoint is written however few its records are,
    #: in bytes; a larger checkpoint makes it as large as that.
    max_journal_bytes: int = 8_000_000
    #: Number of applied entries that stay in the log for replicas that lag behind.
    retained_log_entries: int = 500
    #: Maximum size of these entries, in bytes; others get the whole state.
    retained_log_bytes: int = 8_000_000
    #: Number of accepted changes whose ids are remembered, so that a retried change is
    #: recognised.
    retained_change_ids: int = 2_000
    #: Minimum time for which finished claims are kept, in seconds.
    claim_retention_s: float = 3_600.0
    #: Maximum number of claims in a group; at this number, new ones are rejected.
    max_claims: int = 30_000
    #: Total size of the stored answers in a group, in bytes, at which new claims are
    #: rejected; answers to earlier claims may exceed it.
    max_claim_answer_bytes: int = 32_000_000
    #: Time added to a claim's time budget before its outcome counts as unknown, in
    #: seconds.
    claim_grace_s: float = 1.0

    @property
    def lease_s(self) -> float:
        """How long a leader may act after contact with a quorum, in seconds.

        Voters grant no vote to others for ``election_timeout_min_s`` on their own
        clocks. The lease is shorter, so that it expires before that on any clock within
        the drift bound.
        """
        return self.election_timeout_min_s * (1 - 2 * MAX_CLOCK_DRIFT)


class ControlConfig(msgspec.Struct, frozen=True):
    """Configuration of one control host."""

    #: Name of this host.
    host: HostName
    #: Availability zone of this host.
    zone: ZoneName
    #: Address at which this host receives messages from other control hosts.
    address: Address
    #: The control hosts named in the settings; all of them together found a new
    #: deployment.
    members: tuple[ControlMember, ...]
    #: Number of groups that the claims are divided among; fixed when the deployment is
    #: founded.
    groups: int = 1
    #: True to accept the logs in the data folder as complete without confirmation by a
    #: leader. An operator sets it for one start, when the folder is known to be the
    #: newest.
    trust_folder: bool = False
    #: Timeouts and limits.
    timings: ControlTimings = ControlTimings()
    #: Whether this host may found a deployment together with the other members.
    may_found_deployment: bool = True
    #: Whether control hosts that the settings do not name may join.
    admits_unlisted_hosts: bool = False

    @property
    def founder(self) -> HostName:
        """The host that founds the deployment once it has heard from all others."""
        return min(member.host for member in self.members)

    def find_member(self, host: str) -> ControlMember | None:
        """Find a control host in the settings by its name.

        :param host: the host's name.
        :returns: the control host, or None when the settings do not name it.
        """
        return next((each for each in self.members if each.host == host), None)
