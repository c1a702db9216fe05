"""Configuration distribution and request routing for a mesh of services."""

from __future__ import annotations

__version__ = "0.1.0"
