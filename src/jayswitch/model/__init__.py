"""A seeded model of upstreams and arrivals around the product's own decisions."""
