"""How much work targets and availability zones can take, and what limits it."""

from bramleyspread_capacity._zone_capacity import (
    Restriction,
    TargetCapacity,
    ZoneCapacity,
    sum_by_zone,
)

__all__ = ["Restriction", "TargetCapacity", "ZoneCapacity", "sum_by_zone"]
