"""Forward statements to the proxies that are connected to their databases."""
