"""Benchmarks a mesh of real processes on loopback addresses."""
