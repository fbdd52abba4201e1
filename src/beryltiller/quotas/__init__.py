"""Quotas: limits on the operations of an organisation, over all proxies."""
