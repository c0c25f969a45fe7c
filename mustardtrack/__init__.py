"""Router for language-model traffic whose prompts share long openings."""

__version__ = "0.1.0"

__all__ = ["__version__"]
