"""Routes, services and client limits that the operators' configuration names."""
