"""What a control host is told by its settings."""

from __future__ import annotations

import math

import msgspec

from bramleyspread_core import Address, HostName, ZoneName

#: Most by which two hosts' clocks may differ in rate, as a share.
CLOCK_DRIFT = 0.1


class ControlMember(msgspec.Struct, frozen=True):
    """A control host as the settings name it."""

    #: Its name.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: Where it takes the other control hosts' messages.
    address: Address


class ControlTimings(msgspec.Struct, frozen=True):
    """Times and bounds of a control host; the same on all of them."""

    #: Shortest silence of a leader before another may stand, in seconds.
    election_min: float = 1.0
    #: Longest such silence, in seconds.
    election_max: float = 2.0
    #: Between two signs of life of a leader, in seconds.
    heartbeat: float = 0.2
    #: Until an unanswered message is sent again, in seconds.
    resend: float = 0.3
    #: How long a new leader waits before it gives orders, in seconds.
    order_delay_s: float = 2.0
    #: Most time that handing leadership over may take, in seconds.
    leadership_transfer_s: float = 1.0
    #: Silence after which a voter that a later one of its zone stands in for loses
    #: its vote, in seconds; infinite where hosts are never replaced by others.
    replaced_after: float = math.inf
    #: Records in the journal before a snapshot is taken.
    checkpoint_min_records: int = 1_000
    #: Applied entries kept for replicas that lag.
    retained_log_entries: int = 500
    #: Change ids kept, so that a resend is known.
    retained_change_ids: int = 2_000
    #: Finished claims are kept at least this long, in seconds.
    claim_retention_s: float = 3_600.0
    #: Claims kept in one group before new ones are refused.
    max_claims: int = 30_000
    #: Bytes of answers kept in one group before new claims are refused.
    max_claim_answer_bytes: int = 32_000_000
    #: Added to a claim's remaining time before it counts as unknown, in seconds.
    claim_grace_s: float = 1.0

    @property
    def lease_s(self) -> float:
        """How long a quorum's answer lets a leader act, in seconds.

        Voters stay silent for ``election_min`` on their own clocks; the lease
        is over before that on any clock within the drift bound.
        """
        return self.election_min * (1 - 2 * CLOCK_DRIFT)


class ControlConfig(msgspec.Struct, frozen=True):
    """The settings of one control host."""

    #: This host.
    host: HostName
    #: Its availability zone.
    zone: ZoneName
    #: Where it takes the other control hosts' messages.
    address: Address
    #: The control hosts; all of them found the deployment together.
    members: tuple[ControlMember, ...]
    #: Groups that share the claims; fixed when the deployment is founded.
    groups: int = 1
    #: True to trust the data folder without a leader's word, for one start, when
    #: an operator knows that it is the newest one.
    trust_folder: bool = False
    #: Times and bounds.
    timings: ControlTimings = ControlTimings()
    #: Whether this host may be one of those that found a deployment.
    founds: bool = True
    #: Whether control hosts that no settings name may join.
    admits: bool = False

    @property
    def founder(self) -> HostName:
        """The host that founds the deployment once it has met all others."""
        return min(member.host for member in self.members)

    def find_member(self, host: str) -> ControlMember | None:
        """Find a control host by name.

        :param host: its name.
        :returns: the host, or None when the settings do not name it.
        """
        return next((each for each in self.members if each.host == host), None)
