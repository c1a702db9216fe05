"""Routes, services and caller limits from the operators' configuration."""
