"""What the proxies of a fleet tell each other through the platform's store."""
