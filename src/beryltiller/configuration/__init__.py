"""Configuration: routes, pools and groups, and how versions are adopted."""
