"""Forwards requests from callers to upstreams over HTTP, in one or two hops."""
