"""Which target is to hold which models and have which role."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct
from xxhash import xxh64_intdigest

from bramleyspread_core import (
    Announcement,
    LoadedModel,
    ModelWanted,
    Order,
    Pool,
    RoleWanted,
    TargetName,
)


class WantedState(Struct, frozen=True):
    """The state that a target is to reach."""

    #: Models to hold, and no others, by name.
    models: tuple[LoadedModel, ...]
    #: Role to have; empty to leave it as it is.
    role: str = ""

    def is_reached(self, announcement: Announcement) -> bool:
        """Whether a target has announced this state.

        :param announcement: its newest announcement.
        :returns: True when nothing is left to do.
        """
        is_role = self.role in ("", announcement.role)
        return is_role and self.models == sort_models(announcement.models)

    def needs_load(self, announcement: Announcement) -> bool:
        """Whether reaching it takes anything from the weight store.

        :param announcement: the target's newest announcement.
        :returns: True when a model, version or adapter is missing there.
        """
        held = {
            (model.name, model.version): set(model.adapters)
            for model in announcement.models
        }
        return any(
            not set(model.adapters) <= held.get((model.name, model.version), set())
            or (model.name, model.version) not in held
            for model in self.models
        )


def sort_models(models: Sequence[LoadedModel]) -> tuple[LoadedModel, ...]:
    """Put models in an order in which equal sets are equal.

    :param models: the models.
    :returns: by name and version, with sorted adapters.
    """
    plain = [
        LoadedModel(each.name, each.version, tuple(sorted(each.adapters)))
        for each in models
    ]
    return tuple(sorted(plain, key=lambda each: (each.name, each.version)))


def share_out(
    pool: Pool,
    targets: Sequence[Announcement],
    intents: Mapping[TargetName, Order],
) -> dict[TargetName, WantedState]:
    """Share a pool's models and roles out among its targets.

    Targets that hold a model, or were ordered to, keep it, so that as little as
    possible moves when targets come and go. The rest is rendezvous hashing.

    :param pool: the pool as its document describes it.
    :param targets: the targets that serve.
    :param intents: the newest order of each target.
    :returns: the state that each is to reach; empty when it asks for nothing.
    """
    if not pool.models and not pool.roles:
        return {}
    seats = [_Seat.from_news(each, intents.get(each.target)) for each in targets]
    models: dict[TargetName, list[LoadedModel]] = {each.target: [] for each in targets}
    for model in pool.models:
        wanted = LoadedModel(model.name, model.version, model.adapters)
        for seat in _choose_holders(model, seats, models):
            models[seat.target].append(wanted)
    roles = _share_roles(pool.roles, seats)
    return {
        each.target: WantedState(
            sort_models(models[each.target] if pool.models else each.models),
            roles.get(each.target, ""),
        )
        for each in targets
    }


class _Seat(Struct, frozen=True):
    """What a target holds, or is on its way to hold."""

    #: The target.
    target: TargetName
    #: Names and versions of models.
    models: frozenset[tuple[str, str]]
    #: Role.
    role: str

    @classmethod
    def from_news(cls, announcement: Announcement, order: Order | None) -> _Seat:
        """Join what a target announced with what it was ordered."""
        models, role = announcement.models, announcement.role
        if order is not None and order.incarnation == announcement.incarnation:
            models += order.models
            role = order.role or role
        held = frozenset((each.name, each.version) for each in models)
        return cls(announcement.target, held, role)


def _choose_holders(
    model: ModelWanted,
    seats: Sequence[_Seat],
    given: Mapping[TargetName, Sequence[LoadedModel]],
) -> Sequence[_Seat]:
    if model.targets is None:
        return seats

    def rank(seat: _Seat) -> tuple[int, int, int]:
        is_held = (model.name, model.version) in seat.models
        is_named = any(name == model.name for name, _ in seat.models)
        score = _score(model.name, seat.target)
        return 2 - is_held - is_named, len(given[seat.target]), score

    return sorted(seats, key=rank)[: model.targets]


def _share_roles(
    roles: Sequence[RoleWanted], seats: Sequence[_Seat]
) -> dict[TargetName, str]:
    given: dict[TargetName, str] = {}
    # Those that have a role keep it, before anyone else is given one.
    for role in roles:
        holders = [each for each in seats if each.role == role.name]
        holders.sort(key=lambda each: _score(role.name, each.target))
        given |= {each.target: role.name for each in holders[: role.targets]}
    for role in roles:
        missing = role.targets - sum(name == role.name for name in given.values())
        free = [each for each in seats if each.target not in given]
        free.sort(key=lambda each: _score(role.name, each.target))
        given |= {each.target: role.name for each in free[: max(missing, 0)]}
    return given


def _score(name: str, target: TargetName) -> int:
    return xxh64_intdigest(f"{name} {target}")
