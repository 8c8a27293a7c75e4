"""Small models of this project's protocols, checked exhaustively."""

__all__: list[str] = []
