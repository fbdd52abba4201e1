"""The service that enforces quotas, on the event loop of a proxy."""
