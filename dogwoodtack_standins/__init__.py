"""Stand-ins for what this project does not own: back ends and the platform."""

__all__: list[str] = []
