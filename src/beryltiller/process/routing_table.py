"""The routes and pools of the configuration in force, and the group of a shard key."""

from dataclasses import dataclass

from xxhash import xxh64_intdigest

from beryltiller.configuration.tables import Configuration, Route


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The configuration in force, with its routes and pools by name."""

    configuration: Configuration
    routes: dict[str, Route]
    pools: dict[str, tuple[str, ...]]

    @classmethod
    def from_configuration(cls, configuration: Configuration) -> "RoutingTable":
        """Index a configuration by the names of its routes and pools."""
        routes = {route.name: route for route in configuration.routes}
        pools = {pool.name: pool.groups for pool in configuration.pools}
        return cls(configuration, routes, pools)

    def group(self, route: Route, shard_key: str) -> str:
        """Return the group of the route's pool that serves a shard key.

        The group is chosen by rendezvous hashing, which reassigns few keys when a
        group joins or leaves the pool.
        """
        groups = self.pools[route.pool]
        if len(groups) == 1:
            return groups[0]
        return max(groups, key=lambda name: _rendezvous_weight(shard_key, name))


def _rendezvous_weight(shard_key: str, group: str) -> int:
    return xxh64_intdigest(f"{shard_key}\0{group}".encode())
