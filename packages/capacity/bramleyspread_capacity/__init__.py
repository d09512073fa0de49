"""How much work targets and availability zones can take, and what limits it."""

from bramleyspread_capacity._engine_speed import (
    EngineSpeed,
    EngineSpeeds,
    ReadingSample,
)

__all__ = ["EngineSpeed", "EngineSpeeds", "ReadingSample"]
