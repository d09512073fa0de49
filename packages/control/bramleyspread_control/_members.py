"""Who belongs to a group: hosts, each with the identity of its data folder."""

from __future__ import annotations

import msgspec

from bramleyspread_core import Address, HostName, ZoneName

#: Identities of lost data folders that a group remembers.
MAX_RETIRED_INCARNATIONS = 64


class Member(msgspec.Struct, frozen=True):
    """A replica: a host with one data folder."""

    #: The host.
    host: HostName
    #: Identity of its data folder.
    incarnation: str
    #: Its availability zone.
    zone: ZoneName
    #: Where it takes messages.
    address: Address
    #: False for a learner, which gets the log but has no vote.
    voter: bool


class Members(msgspec.Struct, frozen=True):
    """All replicas of a group; a change of them is an entry of its log."""

    #: The replicas, one a host.
    listed: tuple[Member, ...] = ()
    #: Identities of data folders that may not come back.
    gone: tuple[str, ...] = ()

    @property
    def voters(self) -> tuple[Member, ...]:
        """The replicas that have a vote."""
        return tuple(member for member in self.listed if member.voter)

    @property
    def quorum(self) -> int:
        """Voters that make a majority."""
        return len(self.voters) // 2 + 1

    def find(self, host: str) -> Member | None:
        """Find the replica on a host.

        :param host: the host's name.
        :returns: the replica, or None.
        """
        return next((each for each in self.listed if each.host == host), None)

    def has_replica(self, host: str, incarnation: str) -> bool:
        """Whether a host with this very data folder is a member."""
        member = self.find(host)
        return member is not None and member.incarnation == incarnation

    def has_voter(self, host: str, incarnation: str) -> bool:
        """Whether a host with this very data folder has a vote."""
        member = self.find(host)
        return member is not None and member.voter and member.incarnation == incarnation

    def admit(self, joining: Member) -> Members:
        """Take a replica in as a learner, in place of its host's former one.

        :param newcomer: the replica.
        :returns: the members after the change.
        """
        former = self.find(joining.host)
        gone = self.gone
        if former is not None:
            gone = (*gone, former.incarnation)[-MAX_RETIRED_INCARNATIONS:]
        others = tuple(each for each in self.listed if each is not former)
        learner = msgspec.structs.replace(joining, voter=False)
        return Members((*others, learner), gone)

    def remove(self, host: str) -> Members:
        """Let a replica go that another one has replaced.

        Its data folder may come back as a learner: it is as it was, only older.

        :param host: the replica's host.
        :returns: the members after the change.
        """
        listed = tuple(each for each in self.listed if each.host != host)
        return Members(listed, self.gone)

    def promote(self, host: str) -> Members:
        """Give a learner a vote.

        :param host: the learner's host.
        :returns: the members after the change.
        """
        listed = tuple(
            msgspec.structs.replace(each, voter=True) if each.host == host else each
            for each in self.listed
        )
        return Members(listed, self.gone)
