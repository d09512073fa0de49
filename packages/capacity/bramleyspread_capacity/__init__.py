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
from bramleyspread_capacity._zone_plan import (
    ArrivalRates,
    ZoneDemand,
    ZonePlan,
    ZoneShare,
)

__all__ = [
    "ArrivalRates",
    "EngineSpeed",
    "EngineSpeeds",
    "ReadingSample",
    "Restriction",
    "TargetCapacity",
    "ZoneCapacity",
    "ZoneDemand",
    "ZonePlan",
    "ZoneShare",
    "sum_by_zone",
]
