"""What a proxy knows of the databases, and the choice of one for a statement."""
