"""Assignment of a pool's models and roles to its targets."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct
from xxhash import xxh64_intdigest

from bramleyspread_core import (
    Announcement,
    DesiredModel,
    DesiredRole,
    LoadedModel,
    Order,
    Pool,
    TargetName,
)


class DesiredState(Struct, frozen=True):
    """The state that a target is to reach."""

    #: Models that the target is to hold, and no others, as ``sort_models`` orders
    #: them.
    models: tuple[LoadedModel, ...]
    #: Role that the target is to have; empty to leave its role unchanged.
    role: str = ""

    def is_reached(self, announcement: Announcement) -> bool:
        """Whether a target has announced this state.

        :param announcement: the target's newest announcement.
        :returns: True if both the models and the role match.
        """
        role_matches = self.role in ("", announcement.role)
        return role_matches and self.models == sort_models(announcement.models)

    def needs_load(self, announcement: Announcement) -> bool:
        """Whether the target must load anything from the weight store.

        :param announcement: the target's newest announcement.
        :returns: True if the target lacks a model, version or adapter.
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
    """Sort models and their adapters, so that equal sets compare as equal.

    :param models: the models.
    :returns: the models by name and version, each with sorted adapters.
    """
    with_sorted_adapters = [
        LoadedModel(each.name, each.version, tuple(sorted(each.adapters)))
        for each in models
    ]
    return tuple(
        sorted(with_sorted_adapters, key=lambda each: (each.name, each.version))
    )


def assign_pool(
    pool: Pool,
    targets: Sequence[Announcement],
    newest_orders: Mapping[TargetName, Order],
) -> dict[TargetName, DesiredState]:
    """Assign a pool's models and roles to its targets.

    A target that holds a model, or was ordered to hold it, keeps it, so that as
    few models as possible move when targets join or leave. Rendezvous hashing
    chooses the other holders.

    :param pool: the pool as its document describes it.
    :param targets: the pool's serving targets.
    :param newest_orders: the newest order of each target.
    :returns: the desired state of each target; empty if the pool lists neither
        models nor roles.
    """
    if not pool.models and not pool.roles:
        return {}
    candidates = [
        _Candidate.from_announcement(each, newest_orders.get(each.target))
        for each in targets
    ]
    models: dict[TargetName, list[LoadedModel]] = {each.target: [] for each in targets}
    for model in pool.models:
        wanted = LoadedModel(model.name, model.version, model.adapters)
        for candidate in _choose_holders(model, candidates, models):
            models[candidate.target].append(wanted)
    roles = _assign_roles(pool.roles, candidates)
    return {
        each.target: DesiredState(
            sort_models(models[each.target] if pool.models else each.models),
            roles.get(each.target, ""),
        )
        for each in targets
    }


class _Candidate(Struct, frozen=True):
    """A target with what it holds or has been ordered to hold."""

    target: TargetName
    #: Name and version of each model.
    models: frozenset[tuple[str, str]]
    role: str

    @classmethod
    def from_announcement(
        cls, announcement: Announcement, order: Order | None
    ) -> _Candidate:
        """Combine a target's announcement with its newest order."""
        models, role = announcement.models, announcement.role
        if order is not None and order.incarnation == announcement.incarnation:
            models += order.models
            role = order.role or role
        held = frozenset((each.name, each.version) for each in models)
        return cls(announcement.target, held, role)


def _choose_holders(
    model: DesiredModel,
    candidates: Sequence[_Candidate],
    assigned: Mapping[TargetName, Sequence[LoadedModel]],
) -> Sequence[_Candidate]:
    """Choose targets for a model.

    Targets that hold the model's version go first, then those that hold another
    version of it; among equals, those with fewer models assigned so far.
    """
    if model.targets is None:
        return candidates

    def rank(candidate: _Candidate) -> tuple[int, int, int]:
        holds_version = (model.name, model.version) in candidate.models
        holds_model = any(name == model.name for name, _ in candidate.models)
        digest = _rendezvous_hash(model.name, candidate.target)
        return (
            2 - holds_version - holds_model,
            len(assigned[candidate.target]),
            digest,
        )

    return sorted(candidates, key=rank)[: model.targets]


def _assign_roles(
    roles: Sequence[DesiredRole], candidates: Sequence[_Candidate]
) -> dict[TargetName, str]:
    assigned: dict[TargetName, str] = {}
    # Targets that already have a role keep it before any other target gets one.
    for role in roles:
        holders = [each for each in candidates if each.role == role.name]
        holders.sort(key=lambda each: _rendezvous_hash(role.name, each.target))
        assigned |= {each.target: role.name for each in holders[: role.targets]}
    for role in roles:
        missing = role.targets - sum(name == role.name for name in assigned.values())
        free = [each for each in candidates if each.target not in assigned]
        free.sort(key=lambda each: _rendezvous_hash(role.name, each.target))
        assigned |= {each.target: role.name for each in free[: max(missing, 0)]}
    return assigned


def _rendezvous_hash(name: str, target: TargetName) -> int:
    return xxh64_intdigest(f"{name} {target}")
