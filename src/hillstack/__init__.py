"""hillstack: a router for language-model traffic with long, nested shared prompts."""

__version__ = "0.1.0"
