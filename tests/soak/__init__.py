"""Randomized fault soak: real proxies as processes, faults from outside."""
