"""Routes, services and client limits from the operators' configuration."""
