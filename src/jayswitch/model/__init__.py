"""Seeded simulation of upstreams and requests with the real gates and balancers."""
