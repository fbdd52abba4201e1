"""Configuration: routes, pools and groups, and how a proxy adopts new versions."""
