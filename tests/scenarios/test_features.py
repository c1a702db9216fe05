"""Runs every scenario of the feature files."""

from __future__ import annotations

from pytest_bdd import scenarios

scenarios("features")
