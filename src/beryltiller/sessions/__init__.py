"""Sessions over open connections: routes, placement, pooling and succession."""
