"""The platform's tables: following changes, and relaying them to other proxies."""
