"""Distribution of store changes under a prefix from proxy to proxy."""
