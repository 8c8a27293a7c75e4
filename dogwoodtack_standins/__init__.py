"""Stand-ins for systems outside this project: back ends and the platform."""

__all__: list[str] = []
