"""Adapters between the platform's protocols and jayswitch's own types."""
