"""Members of a group: hosts, each with the identity of its data folder."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Address, HostName, ZoneName

#: Maximum number of identities of lost data folders that a group remembers.
MAX_RETIRED_INCARNATIONS = 64


class Member(msgspec.Struct, frozen=True):
    """A replica: a host together with one data folder."""

    #: Name of the host.
    host: HostName
    #: Identity of the data folder.
    incarnation: str
    #: Availability zone of the host.
    zone: ZoneName
    #: Address at which the host receives messages.
    address: Address
    #: False for a learner, which receives the log but has no vote.
    voter: bool


class Members(msgspec.Struct, frozen=True):
    """All replicas of a group; a change of the members is an entry in the log."""

    #: The replicas, one per host.
    listed: tuple[Member, ...] = ()
    #: Identities of lost data folders, which are never admitted again.
    gone: tuple[str, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """The replicas that have a vote."""
        return tuple(member for member in self.listed if member.voter)

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def find(self, host: str) -> Member | None:
        """Find the replica on a host.

        :param host: name of the host.
        :returns: the replica, or None if the host is not a member.
        """
        return next((each for each in self.listed if each.host == host), None)

    def has_replica(self, host: str, incarnation: str) -> bool:
        """Whether a host is a member with this data folder."""
        member = self.find(host)
        return member is not None and member.incarnation == incarnation

    def has_voter(self, host: str, incarnation: str) -> bool:
        """Whether a host is a voter with this data folder."""
        member = self.find(host)
        return member is not None and member.voter and member.incarnation == incarnation

    def admit(self, new_member: Member) -> Members:
        """Add a replica as a learner, in place of its host's earlier replica.

        :param new_member: the replica.
        :returns: the members after the change.
        """
        previous = self.find(new_member.host)
        gone = self.gone
        if previous is not None:
            gone = (*gone, previous.incarnation)[-MAX_RETIRED_INCARNATIONS:]
        others = tuple(each for each in self.listed if each is not previous)
        learner = msgspec.structs.replace(new_member, voter=False)
        return Members((*others, learner), gone)

    def remove(self, host: str) -> Members:
        """Remove a replica that another voter of its zone replaces.

        Its data folder may be admitted as a learner again later: its state is older,
        but valid.

        :param host: host of the replica.
        :returns: the members after the change.
        """
        listed = tuple(each for each in self.listed if each.host != host)
        return Members(listed, self.gone)

    def promote(self, host: str) -> Members:
        """Give a learner a vote.

        :param host: host of the learner.
        :returns: the members after the change.
        """
        listed = tuple(
            msgspec.structs.replace(each, voter=True) if each.host == host else each
            for each in self.listed
        )
        return Members(listed, self.gone)
