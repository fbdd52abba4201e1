"""Sessions that are open connections: routes, placement, lending and succession."""
