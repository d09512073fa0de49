"""How much work targets and availability zones can take, and what limits it."""

from bramleyspread_capacity._engine_speed import (
    EngineSpeed,
    EngineSpeeds,
    ReadingSample,
)
from bramleyspread_capacity._zone_capacity import (
    Restriction,
    TargetCapacity,
    ZoneCapacity,
    sum_by_zone,
)

__all__ = [
    "EngineSpeed",
    "EngineSpeeds",
    "ReadingSample",
    "Restriction",
    "TargetCapacity",
    "ZoneCapacity",
    "sum_by_zone",
]
