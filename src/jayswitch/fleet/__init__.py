"""Records that the proxies of a fleet share through the platform's store."""
