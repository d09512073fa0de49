"""How much work targets and availability zones can take, and what limits it."""

__all__: list[str] = []
